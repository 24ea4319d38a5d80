package main

import (
	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
)

// newGroup returns a parent command for operator commands, with the connection
// and output flags.
func (o *operatorOptions) newGroup(use, short string, subs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short}
	o.addFlags(cmd)
	cmd.PersistentPreRunE = o.checkOutput
	cmd.AddCommand(subs...)
	return cmd
}

// newChangeCommand returns a command with n arguments that sends the change that
// build returns for them.
func (o *operatorOptions) newChangeCommand(use, short, example string, n int, build func(args []string) (tmchange.Change, error)) *cobra.Command {
	cmd := &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  turmericmoor " + example,
		Args:    cobra.ExactArgs(n),
		RunE: func(cmd *cobra.Command, args []string) error {
			change, err := build(args)
			if err != nil {
				return err
			}
			return o.apply(cmd, 0, change)
		},
	}
	o.addChangeID(cmd)
	return cmd
}

// newNameCommand returns a command that sends a change of one named object.
func (o *operatorOptions) newNameCommand(use, short, example string, build func(name string) tmchange.Change) *cobra.Command {
	return o.newChangeCommand(use, short, example, 1, func(args []string) (tmchange.Change, error) {
		return build(args[0]), nil
	})
}

// withLongHelp sets the long description of a command, which replaces the short
// one in its own help.
func withLongHelp(cmd *cobra.Command, text string) *cobra.Command {
	cmd.Long = text
	return cmd
}

// markRequired marks flags as required. MarkFlagRequired fails only for flags
// that don't exist.
func markRequired(cmd *cobra.Command, flags ...string) {
	for _, f := range flags {
		_ = cmd.MarkFlagRequired(f)
	}
}
