// Command tmload sends an open-loop load to entries and judges what came of it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitDone      = 0
	exitViolation = 1
	exitFailed    = 2
)

// errViolations means that the judge found broken promises.
var errViolations = errors.New("violations found")

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use:   "tmload",
		Short: "Send an open-loop load to entries and judge what came of it",
		Long: `tmload sends requests at their intended times, whatever the answers do, and
judges the journals of callers and endpoints.

Exit codes:
  0  done
  1  violations found
  2  wrong usage or failed`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newJudgeCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errViolations):
		return exitViolation
	}
	_, _ = fmt.Fprintln(errOut, "tmload:", err)
	return exitFailed
}
