package main

import "github.com/spf13/cobra"

func newDumpCommand() *cobra.Command {
	o := &operatorOptions{}
	cmd := &cobra.Command{
		Use:     "dump",
		Short:   "Print the state of one entry as JSON, without keys",
		Example: "  turmericmoor dump --operator http://127.0.0.1:8401",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			dump, err := client.Dump(cmd.Context())
			if err != nil {
				return err
			}
			return printJSON(cmd, dump)
		},
	}
	o.addFlags(cmd)
	cmd.PreRunE = o.checkOutput
	return cmd
}
