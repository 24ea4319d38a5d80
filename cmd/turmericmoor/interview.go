package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"turmericmoor/core/tmquestion"
	"turmericmoor/io/tmini"
)

// maxAnswerLine is the longest line of one answer, in bytes.
const maxAnswerLine = 4096

// promptAnswers writes each question to out and reads its answer from in, one
// line each. After an invalid answer it writes the problem and asks again.
func promptAnswers(in io.Reader, out io.Writer) (map[string]string, error) {
	raw := map[string]string{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxAnswerLine)
	for _, q := range tmquestion.Questions() {
		for {
			if _, err := fmt.Fprint(out, prompt(q)); err != nil {
				return nil, err
			}
			if !lines.Scan() {
				return nil, inputError(q, lines.Err())
			}
			problem := q.Check(lines.Text())
			if problem == nil {
				raw[q.Key()] = lines.Text()
				break
			}
			if _, err := fmt.Fprintf(out, "  %s, expected %s\n", problem.Message, problem.Expected); err != nil {
				return nil, err
			}
		}
	}
	return raw, nil
}

func inputError(q tmquestion.Question, err error) error {
	if err == nil {
		err = errors.New("the input has ended")
	}
	return fmt.Errorf("no answer to %s: %w", q.Key(), err)
}

func prompt(q tmquestion.Question) string {
	hint := ""
	switch {
	case q.Default() != "":
		hint = " [" + q.Default() + "]"
	case q.Optional():
		hint = " [none]"
	}
	return fmt.Sprintf("\n%s\n  %s\n%s%s: ", q.Text(), q.Help(), q.Key(), hint)
}

// answerFile holds the answers of an INI file and their line numbers. Its path is
// empty when the answers were typed in.
type answerFile struct {
	path  string
	raw   map[string]string
	lines map[string]int
}

func readAnswers(path string) (answerFile, error) {
	entries, err := tmini.Load(path)
	if err != nil {
		return answerFile{}, err
	}
	f := answerFile{path: path, raw: map[string]string{}, lines: map[string]int{}}
	for _, e := range entries {
		f.raw[e.Name()] = e.Value
		f.lines[e.Name()] = e.Line
	}
	return f, nil
}

// addPositions adds file and line to the problems of an InvalidError, if the
// answers come from a file.
func (f answerFile) addPositions(err error) error {
	var invalid *tmquestion.InvalidError
	if f.path == "" || !errors.As(err, &invalid) {
		return err
	}
	problems := make([]tmini.Problem, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		problems = append(problems, tmini.Problem{
			File: f.path, Line: f.lines[p.Field], Field: p.Field, Message: p.Message, Expected: p.Expected,
		})
	}
	return &tmini.InvalidError{Problems: problems}
}
