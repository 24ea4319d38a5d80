// Command tmmeasure feeds tables of arrivals and events to the decision code on
// a moved clock, with small fakes on each side, and writes docs/MEASURES.md.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	commit, out := "unknown", "docs/MEASURES.md"
	cmd := &cobra.Command{
		Use:           "tmmeasure",
		Short:         "measure the decision code and write docs/MEASURES.md",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return measureAll(commit, out)
		},
	}
	cmd.Flags().StringVar(&commit, "commit", commit, "commit id that the report names")
	cmd.Flags().StringVar(&out, "out", out, "file of the report")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "tmmeasure:", err)
		os.Exit(1)
	}
}

func measureAll(commit, out string) error {
	start := time.Now()
	var scenarios []*scenario
	for _, shapeOf := range []func([]team) shape{perth, hsinchu} {
		scenarios = append(scenarios, fairness(shapeOf(fairTeams()))...)
		scenarios = append(scenarios, zoneChange(shapeOf(steadyTeams()))...)
	}
	scenarios = append(scenarios, urgency(urgentShape(perth(steadyTeams())))...)
	rows := runAll(scenarios)
	text := render(rows, commit, time.Since(start))
	fmt.Print(text)
	if err := os.WriteFile(out, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}
