package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"turmericmoor/io/tmexplain"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Show the history of a job or a task from decision logs",
		Long: `explain reads the decision logs of all nodes, from files or from the standard
input, and prints in order what was decided about a job or a task, by whom and on
which inputs, then what held it up and what is missing. Lines that can't be read
are counted and passed over.`,
		Example: "  turmericmoor explain 5c0e7a21d94b36f8 node-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return explainJob(args[0], args[1:], cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
}

func explainJob(id string, paths []string, in io.Reader, out, errOut io.Writer) error {
	var logs tmexplain.Logs
	if len(paths) == 0 {
		if err := logs.Read(in); err != nil {
			return err
		}
	}
	for _, path := range paths {
		if err := readLog(&logs, path); err != nil {
			return err
		}
	}
	if n := logs.Unreadable(); n > 0 {
		if _, err := fmt.Fprintf(errOut, "%d lines passed over\n", n); err != nil {
			return err
		}
	}
	report, err := logs.Explain(id)
	if err != nil {
		return err
	}
	return report.Write(out)
}

func readLog(logs *tmexplain.Logs, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := logs.Read(f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
