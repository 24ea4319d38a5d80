package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
	"turmericmoor/io/tmoperator"
)

// Output formats.
const (
	outputHuman = "human"
	outputJSON  = "json"
)

func (o *operatorOptions) checkOutput(*cobra.Command, []string) error {
	if o.output != outputHuman && o.output != outputJSON {
		return fmt.Errorf("--output %q is not known, expected %s or %s", o.output, outputHuman, outputJSON)
	}
	return nil
}

func printJSON(cmd *cobra.Command, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(data))
	return err
}

type statusOutput struct {
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
	InForce  bool   `json:"in_force"`
	// Keys holds the new keys in plain text, only in the output of their grant.
	Keys []keyOutput `json:"keys,omitempty"`
}

type keyOutput struct {
	Label string `json:"label"`
	Key   string `json:"key"`
}

// printStatus prints the status of a change and the keys that it granted. It
// returns errPending when the change is not yet confirmed.
func (o *operatorOptions) printStatus(cmd *cobra.Command, s tmoperator.ChangeStatus, keys ...keyOutput) error {
	var err error
	if o.output == outputJSON {
		err = printJSON(cmd, statusOutput{ChangeID: s.ID, Version: s.Version, InForce: s.InForce, Keys: keys})
	} else {
		_, err = fmt.Fprint(cmd.OutOrStdout(), statusText(s, keys))
	}
	if err != nil {
		return err
	}
	if !s.InForce {
		return fmt.Errorf("change %s, version %d: %w", s.ID, s.Version, errPending)
	}
	return nil
}

func statusText(s tmoperator.ChangeStatus, keys []keyOutput) string {
	var b strings.Builder
	for _, k := range keys {
		fmt.Fprintf(&b, "key %s: %s\n", k.Label, k.Key)
	}
	if len(keys) > 0 {
		b.WriteString("Store the key now. It is not stored anywhere and not shown again.\n")
	}
	if s.InForce {
		fmt.Fprintf(&b, "in force as version %d (change %s)\n", s.Version, s.ID)
	}
	return b.String()
}

// printTable prints rows in columns under a header.
func printTable(cmd *cobra.Command, header []string, rows [][]string) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// listing describes how a section of the configuration is printed.
type listing struct {
	// section is the name of the section in JSON.
	section string
	header  []string
	rows    func(c tmfleet.Config) [][]string
}

// newListCommand returns the list command of a section of the configuration.
func (o *operatorOptions) newListCommand(subject string, l listing) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List " + subject,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			config, _, err := client.Config(cmd.Context())
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return printSection(cmd, config, l.section)
			}
			return printTable(cmd, l.header, l.rows(config))
		},
	}
}

func printSection(cmd *cobra.Command, config tmfleet.Config, section string) error {
	data, err := tmcodec.EncodeConfig(config, true)
	if err != nil {
		return err
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(data, &sections); err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	return printJSON(cmd, sections[section])
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
