package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitPending = 3
)

const exitCodeHelp = `Exit codes:
  0  done
  1  refused or failed
  2  wrong usage
  3  stored, but not yet confirmed by all entries`

var (
	// errPending means that a change is stored but not yet confirmed by all entries.
	errPending = errors.New("stored, not yet confirmed")
	// errUsage means that arguments, flags or the environment are wrong.
	errUsage = errors.New("wrong usage")
	// errUnknownOutcome means that a change may or may not be stored.
	errUnknownOutcome = errors.New("the change may have been stored")
)

// newRoot returns the root command with all its subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "turmericmoor",
		Short: "Manage fleet capacity and maintenance",
		Long: `turmericmoor manages the capacity and the maintenance of a fleet that several
teams share. The command entry runs one of its processes, submit sends work
through one, and all others are for operators.

Commands for operators need the operator listener of any entry and the operator
key, by flags or by the environment:

  export TURMERICMOOR_OPERATOR=http://127.0.0.1:8401
  export TURMERICMOOR_OPERATOR_KEY_FILE=operator.key
  export TURMERICMOOR_OPERATOR_CA_FILE=ca.pem     # with TLS and an own authority

The command submit needs the caller listener of any entry and a key of a team:

  export TURMERICMOOR_ENTRY=http://127.0.0.1:8400
  export TURMERICMOOR_KEY_FILE=crews.key`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetUsageTemplate(usageTemplate(root))
	root.AddCommand(
		newConfigCommand(),
		newTeamCommand(),
		newKeyCommand(),
		newShareCommand(),
		newLimitCommand(),
		newPoolCommand(),
		newQueueCommand(),
		newInstanceCommand(),
		newZoneCommand(),
		newWaveCommand(),
		newDumpCommand(),
		newQuestionnaireCommand(),
		newEntryCommand(),
		newNodeCommand(),
		newExplainCommand(),
		newSubmitCommand(),
	)
	return root
}

// usageTemplate adds the exit codes, and omits the usage line of a command that
// only groups others: it is runnable only to reject unknown subcommands.
func usageTemplate(root *cobra.Command) string {
	text := strings.Replace(root.UsageTemplate(), "{{if .Runnable}}", "{{if and .Runnable (not .HasAvailableSubCommands)}}", 1)
	return text + "\n" + exitCodeHelp + "\n"
}

// run executes the command line and returns the exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	started := false
	wrapCommands(root, &started)
	err := root.Execute()
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errPending):
		_, _ = fmt.Fprintln(errOut, "turmericmoor:", err)
		return exitPending
	case !started || errors.Is(err, errUsage):
		_, _ = fmt.Fprintf(errOut, "turmericmoor: %v\nSee --help for the usage.\n", err)
		return exitUsage
	}
	_, _ = fmt.Fprintln(errOut, "turmericmoor:", err)
	return exitFailed
}

// wrapCommands makes every command set started when it runs: an error before that
// is a usage error. It also makes commands that only group others reject unknown
// subcommands, for which cobra would print the help and report success.
func wrapCommands(cmd *cobra.Command, started *bool) {
	if cmd.RunE != nil {
		inner := cmd.RunE
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			*started = true
			return inner(cmd, args)
		}
	} else if cmd.Run == nil {
		cmd.Args = cobra.ArbitraryArgs
		cmd.RunE = unknownCommand
	}
	for _, sub := range cmd.Commands() {
		wrapCommands(sub, started)
	}
}

func unknownCommand(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return cmd.Help()
	}
	return fmt.Errorf("unknown command %q of %q", args[0], cmd.CommandPath())
}
