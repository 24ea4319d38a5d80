package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmcheck"
	"turmericmoor/core/tmfleet"
)

func (o *operatorOptions) newConfigCheck() *cobra.Command {
	strict := false
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a change file without applying it",
		Long: `Check a change file, a JSON array of changes, without applying it. FILE can be -
for the standard input.

Without an operator URL only its form is checked. With one it is also checked
against the present configuration, with all instances counted as live; the entry
checks again with those that really are when the file is applied. The output then
also has what differs from the present configuration.

The standard output has the findings: errors, for which the file is refused, and
warnings, of entries that never take effect and limits that contradict each other.
docs/CHECKS.md describes each by its name.

The exit code is 0 when the file has no errors, and 1 when it has errors or can't be
checked. With --strict it is also 1 when the file has warnings that the present
configuration doesn't have.`,
		Example: `  turmericmoor config check changes.json
  turmericmoor config check changes.json --strict --output json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.checkFile(cmd, args[0], strict)
		},
	}
	cmd.Flags().BoolVar(&strict, "strict", false, "fail when the file causes warnings")
	return cmd
}

// checkFile prints the findings about a file, also if it has errors, which it
// returns.
func (o *operatorOptions) checkFile(cmd *cobra.Command, path string, strict bool) error {
	changes, err := readChanges(cmd, path)
	if err != nil {
		if findings := tmcheck.FromError(err); len(findings) > 0 {
			return o.printReport(cmd, tmcheck.Report{Findings: findings}, nil, err)
		}
		return err
	}
	report, against := tmcheck.Report{Findings: tmcheck.CheckFile(changes)}, "its form only"
	var version *uint64
	if o.url != "" {
		state, err := o.current(cmd)
		if err != nil {
			return err
		}
		number := state.Version()
		version, against = &number, fmt.Sprintf("version %d", number)
		if report, err = tmcheck.Check(state, tmchange.AllLive, changes); err != nil {
			return o.printReport(cmd, report, version, err)
		}
	}
	if err := o.printReport(cmd, report, version, nil); err != nil {
		return err
	}
	if n := newWarnings(report); strict && n > 0 {
		return fmt.Errorf("%s causes %s, expected none with --strict", path, counted(n, "warning"))
	}
	_, err = fmt.Fprintf(cmd.ErrOrStderr(), "%s, checked against %s\n", verdict(len(changes), len(report.Findings)), against)
	return err
}

// verdict sums up the check of a file without errors.
func verdict(changes, warnings int) string {
	switch {
	case warnings > 0:
		return fmt.Sprintf("%s without errors, with %s", counted(changes, "change"), counted(warnings, "warning"))
	case changes == 1:
		return "1 change is right"
	}
	return counted(changes, "change") + " are right"
}

// counted returns a number with its noun.
func counted(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}

// current returns the present configuration as a State without members, which
// checks of changes don't use.
func (o *operatorOptions) current(cmd *cobra.Command) (tmfleet.State, error) {
	client, err := o.client()
	if err != nil {
		return tmfleet.State{}, err
	}
	config, version, err := client.Config(cmd.Context())
	if err != nil {
		return tmfleet.State{}, err
	}
	noMembers := tmfleet.Table[string, tmfleet.Member]{}
	return tmfleet.NewState(version, noMembers, noMembers, config, nil), nil
}

// newWarnings counts the warnings that the present configuration doesn't have.
func newWarnings(r tmcheck.Report) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == tmcheck.Warning && !f.InForce {
			n++
		}
	}
	return n
}

// printReport prints r and returns the error of the check, unless it can't print.
// The version is nil if only the form was checked.
func (o *operatorOptions) printReport(cmd *cobra.Command, r tmcheck.Report, version *uint64, checkErr error) error {
	var err error
	if o.output == outputJSON {
		err = printJSON(cmd, encodeReport(r, version))
	} else {
		err = printReportTables(cmd, r)
	}
	if err != nil {
		return err
	}
	return checkErr
}

func printReportTables(cmd *cobra.Command, r tmcheck.Report) error {
	if len(r.Findings) > 0 {
		rows := make([][]string, 0, len(r.Findings))
		for _, f := range r.Findings {
			rows = append(rows, []string{f.Severity.String(), string(f.Name), f.Place, yesNo(f.InForce), f.Message, f.Expected})
		}
		if err := printTable(cmd, []string{"SEVERITY", "NAME", "PLACE", "IN FORCE", "MESSAGE", "EXPECTED"}, rows); err != nil {
			return err
		}
	}
	if len(r.Differences) == 0 {
		return nil
	}
	if len(r.Findings) > 0 {
		if _, err := fmt.Fprintln(cmd.OutOrStdout()); err != nil {
			return err
		}
	}
	rows := make([][]string, 0, len(r.Differences))
	for _, d := range r.Differences {
		rows = append(rows, []string{d.Section, d.Entry, d.Kind.String(), fieldsText(d)})
	}
	return printTable(cmd, []string{"SECTION", "NAME", "DIFFERENCE", "FIELDS"}, rows)
}

func fieldsText(d tmcheck.Difference) string {
	texts := make([]string, 0, len(d.Fields))
	for _, f := range d.Fields {
		switch d.Kind {
		case tmcheck.Added:
			texts = append(texts, f.Field+" "+f.After)
		case tmcheck.Removed:
			texts = append(texts, f.Field+" "+f.Before)
		default:
			texts = append(texts, fmt.Sprintf("%s %s -> %s", f.Field, strconv.Quote(f.Before), strconv.Quote(f.After)))
		}
	}
	return strings.Join(texts, ", ")
}
