package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmquestion"
	"turmericmoor/io/tmcodec"
)

func newQuestionnaireCommand() *cobra.Command {
	o := &operatorOptions{}
	path, apply := "", false
	cmd := &cobra.Command{
		Use:   "questionnaire",
		Short: "Ask a new team some questions and generate its configuration",
		Long: `Ask a new team some questions, or read its answers from an INI file, and generate
its configuration for the present fleet. The change file goes to the standard
output and the explanation to the standard error. With --apply the changes are
sent, and each holder of a key gets one, which is printed once.`,
		Example: `  turmericmoor questionnaire > changes.json
  turmericmoor questionnaire --answers crews.ini --apply`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.questionnaire(cmd, path, apply)
		},
	}
	o.addFlags(cmd)
	cmd.PreRunE = o.checkOutput
	cmd.Flags().StringVar(&path, "answers", "", "INI file with one line key = answer for each question; docs/answers.example.ini has all")
	cmd.Flags().BoolVar(&apply, "apply", false, "send the generated changes")
	return cmd
}

func (o *operatorOptions) questionnaire(cmd *cobra.Command, path string, apply bool) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	config, version, err := client.Config(cmd.Context())
	if err != nil {
		return err
	}
	file, err := promptOrRead(cmd, path)
	if err != nil {
		return err
	}
	answers, err := tmquestion.NewAnswers(file.raw)
	if err != nil {
		return file.addPositions(err)
	}
	changes, explanation, err := tmquestion.Generate(answers, config)
	if err != nil {
		return file.addPositions(err)
	}
	if _, err := fmt.Fprint(cmd.ErrOrStderr(), "\n", explanation.String()); err != nil {
		return err
	}
	if !apply {
		return printChanges(cmd, changes, answers)
	}
	return o.applyAnswers(cmd, version, changes, answers)
}

func promptOrRead(cmd *cobra.Command, path string) (answerFile, error) {
	if path != "" {
		return readAnswers(path)
	}
	raw, err := promptAnswers(cmd.InOrStdin(), cmd.ErrOrStderr())
	return answerFile{raw: raw}, err
}

func printChanges(cmd *cobra.Command, changes []tmchange.Change, answers tmquestion.Answers) error {
	data, err := tmcodec.EncodeChanges(changes)
	if err != nil {
		return err
	}
	if err := printJSON(cmd, json.RawMessage(data)); err != nil {
		return err
	}
	for _, holder := range answers.KeyHolders() {
		label := tmquestion.KeyLabel(answers.Team(), holder)
		line := fmt.Sprintf("After applying: turmericmoor key grant %s %s", answers.Team(), label)
		if _, err := fmt.Fprintln(cmd.ErrOrStderr(), line); err != nil {
			return err
		}
	}
	return nil
}

// applyAnswers sends the changes with the version that they were generated from
// as base version, because the shares and limits in them depend on it.
func (o *operatorOptions) applyAnswers(cmd *cobra.Command, version uint64, changes []tmchange.Change, answers tmquestion.Answers) error {
	var keys []keyOutput
	for _, holder := range answers.KeyHolders() {
		key, grant := newKey(answers.Team(), tmquestion.KeyLabel(answers.Team(), holder))
		keys = append(keys, key)
		changes = append(changes, grant)
	}
	status, err := o.send(cmd.Context(), version, changes)
	if err != nil {
		return wrapGrantError(err)
	}
	return o.printStatus(cmd, status, keys...)
}
