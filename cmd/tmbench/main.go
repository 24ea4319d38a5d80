// Command tmbench measures entries as real processes on the loopback interface
// and writes tables with targets. The programs come from the directory that
// TM_BIN names.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := newRoot().ExecuteContext(ctx)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tmbench:", err)
		os.Exit(1)
	}
}

// measurement is one subcommand.
type measurement struct {
	name, short string
	// flags adds flags, unless it is nil.
	flags func(flags *pflag.FlagSet)
	run   func(ctx context.Context, out io.Writer) error
}

func newRoot() *cobra.Command {
	commit := ""
	root := &cobra.Command{
		Use:   "tmbench",
		Short: "Measure entries as real processes",
		Long: `tmbench starts fleets of real processes on the loopback interface and measures
them. TM_BIN names the directory with the programs, which make build fills.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&commit, "commit", builtFrom(), "commit id that the output names")
	root.AddCommand(forwarderCommand())
	for _, m := range []measurement{
		latencyMeasurement(),
		cpuMeasurement(),
		overloadMeasurement(),
		outageMeasurement(),
		killMeasurement(),
		tableMeasurement(),
		slopeMeasurement(),
	} {
		cmd := &cobra.Command{
			Use:   m.name,
			Short: m.short,
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				out := cmd.OutOrStdout()
				if _, err := fmt.Fprintf(out, "%s\ncommand: tmbench %s\ncommit: %s\nload average: %s\n",
					m.short, strings.Join(os.Args[1:], " "), commit, loadAverage()); err != nil {
					return err
				}
				return m.run(cmd.Context(), out)
			},
		}
		if m.flags != nil {
			m.flags(cmd.Flags())
		}
		root.AddCommand(cmd)
	}
	return root
}

// builtFrom returns the commit that the program was built from.
func builtFrom() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), 10)]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " with changes"
		}
	}
	return revision + dirty
}

// loadAverage returns the load averages of the machine, which other processes
// share.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
