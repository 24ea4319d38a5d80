package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
	"turmericmoor/io/tmoperator"
)

// maxChangeFileBytes is the largest change file, equal to the largest body that
// the operator listener accepts.
const maxChangeFileBytes = tmoperator.MaxBodyBytes

func newConfigCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("config", "Check, apply and show the configuration",
		o.newConfigCheck(), o.newConfigApply(), o.newConfigShow(), o.newConfigHistory())
}

func (o *operatorOptions) newConfigApply() *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a change file as a whole",
		Long: `Apply a change file, a JSON array of changes, as a whole or not at all. FILE can
be - for the standard input.`,
		Example: `  turmericmoor config apply changes.json
  echo '[{"op":"zone_out","name":"zone-a"}]' | turmericmoor config apply -`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			changes, err := readChanges(cmd, args[0])
			if err != nil {
				return err
			}
			return o.apply(cmd, base, changes...)
		},
	}
	cmd.Flags().Uint64Var(&base, "base-version", 0, "refuse when the configuration is not at this version (0: any)")
	o.addChangeID(cmd)
	return cmd
}

func readChanges(cmd *cobra.Command, path string) ([]tmchange.Change, error) {
	data, err := readFile(cmd, path)
	if err != nil {
		return nil, err
	}
	if len(data) > maxChangeFileBytes {
		return nil, fmt.Errorf("%s is too large, expected at most %d bytes", path, maxChangeFileBytes)
	}
	changes, err := tmcodec.DecodeChanges(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(changes) == 0 {
		return nil, fmt.Errorf("%s has no changes, expected at least one", path)
	}
	return changes, nil
}

// readFile reads at most one byte more than maxChangeFileBytes, so that a file
// that is too large is detected without reading all of it.
func readFile(cmd *cobra.Command, path string) ([]byte, error) {
	in := cmd.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	return io.ReadAll(io.LimitReader(in, maxChangeFileBytes+1))
}

func (o *operatorOptions) newConfigShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the present configuration",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			config, version, err := client.Config(cmd.Context())
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return printConfigJSON(cmd, config, version)
			}
			return printConfig(cmd, config, version)
		},
	}
}

func printConfig(cmd *cobra.Command, config tmfleet.Config, version uint64) error {
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", version); err != nil {
		return err
	}
	for _, l := range []listing{zoneListing, poolListing, queueListing, teamListing, keyListing, instanceListing} {
		if _, err := fmt.Fprintf(cmd.OutOrStdout(), "\n%s\n", strings.ToUpper(l.section)); err != nil {
			return err
		}
		if err := printTable(cmd, l.header, l.rows(config)); err != nil {
			return err
		}
	}
	return nil
}

func (o *operatorOptions) newConfigHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Show the last versions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			list, err := client.History(cmd.Context())
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return printHistoryJSON(cmd, list)
			}
			return printTable(cmd, []string{"VERSION", "WRITTEN", "CHANGE", "OPS"}, historyRows(list))
		},
	}
}

func historyRows(list []tmoperator.Revision) [][]string {
	rows := make([][]string, 0, len(list))
	for _, r := range list {
		ops := make([]string, 0, len(r.Changes))
		for _, c := range r.Changes {
			ops = append(ops, c.Op())
		}
		change := r.ChangeID
		if len(ops) == 0 {
			change, ops = "-", []string{"(entries joined or left)"}
		}
		written := "-"
		if r.Written > 0 {
			written = time.UnixMilli(int64(r.Written)).UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{strconv.FormatUint(r.Version, 10), written, change, strings.Join(ops, " ")})
	}
	return rows
}
