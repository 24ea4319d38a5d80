package main

import (
	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
)

// newGroup returns a command that groups commands for operators and has their
// flags.
func (o *operator) newGroup(use, short string, subs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short}
	o.addFlags(cmd)
	cmd.PersistentPreRunE = o.checkOutput
	cmd.AddCommand(subs...)
	return cmd
}

// newChangeCommand returns a command that sends the change that build makes of
// its n arguments.
func (o *operator) newChangeCommand(use, short, example string, n int, build func(args []string) (tmchange.Change, error)) *cobra.Command {
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

// newNameCommand returns a command that sends a change which needs one name.
func (o *operator) newNameCommand(use, short, example string, build func(name string) tmchange.Change) *cobra.Command {
	return o.newChangeCommand(use, short, example, 1, func(args []string) (tmchange.Change, error) {
		return build(args[0]), nil
	})
}

// explain gives a command a longer text, which replaces the short one in its own
// help.
func explain(cmd *cobra.Command, text string) *cobra.Command {
	cmd.Long = text
	return cmd
}

// require marks flags as required. The flags exist, so no error is possible.
func require(cmd *cobra.Command, flags ...string) {
	for _, f := range flags {
		_ = cmd.MarkFlagRequired(f)
	}
}
