package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"turmericmoor/io/tmoperator"
)

type waveOutput struct {
	Name   string   `json:"name"`
	Pools  []string `json:"pools"`
	Reason string   `json:"reason"`
	Phase  string   `json:"phase"`
	Leader string   `json:"leader"`
	Total  int      `json:"total"`
	Done   int      `json:"done"`
	Active []string `json:"active"`
	Note   string   `json:"note"`
}

const waveStartHelp = `Start a maintenance wave: entries drain and reboot each instance of the pools and
return it to service, within the budget of each pool. A few instances go first,
and the others follow when these have come back. The wave pauses while failed
instances use up a budget, and stops when too many do not come back. The command
returns at once; follow the wave with "turmericmoor wave status". To start the
same wave again changes nothing.`

const waveStopHelp = `Let a wave take no further instances. Those that have not yet started to reboot
return to service, the others finish. A stopped wave can't go on; start another
one under a new name.`

func newWaveCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("wave", "Start, stop and follow maintenance waves", o.newWaveStart(), o.newWaveStop(), o.newWaveStatus())
}

func (o *operatorOptions) newWaveStart() *cobra.Command {
	var req tmoperator.WaveRequest
	cmd := &cobra.Command{
		Use:     "start NAME",
		Short:   "Start a maintenance wave over all instances of some pools",
		Long:    waveStartHelp,
		Example: "  turmericmoor wave start kernel-6 --pool steps --pool spares --reason 'kernel update'",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			req.Name = args[0]
			return o.callWave(cmd, func(c *tmoperator.Client) (tmoperator.WaveStatus, error) {
				return c.StartWave(cmd.Context(), req)
			})
		},
	}
	cmd.Flags().StringSliceVar(&req.Pools, "pool", nil, "pool of the wave, can be repeated")
	cmd.Flags().StringVar(&req.Reason, "reason", "", "why the wave is needed")
	markRequired(cmd, "pool")
	return cmd
}

func (o *operatorOptions) newWaveStop() *cobra.Command {
	return &cobra.Command{
		Use:     "stop NAME",
		Short:   "Let a wave take no further instances",
		Long:    waveStopHelp,
		Example: "  turmericmoor wave stop kernel-6",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.callWave(cmd, func(c *tmoperator.Client) (tmoperator.WaveStatus, error) {
				return c.StopWave(cmd.Context(), args[0])
			})
		},
	}
}

func (o *operatorOptions) newWaveStatus() *cobra.Command {
	return &cobra.Command{
		Use:     "status [NAME]",
		Short:   "Show the progress of one wave or of the last waves",
		Example: "  turmericmoor wave status kernel-6",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return o.callWave(cmd, func(c *tmoperator.Client) (tmoperator.WaveStatus, error) {
					return c.Wave(cmd.Context(), args[0])
				})
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			list, err := client.Waves(cmd.Context())
			if err != nil {
				return err
			}
			return o.printWaves(cmd, list)
		},
	}
}

// callWave makes an API call for one wave and prints the progress of the wave.
func (o *operatorOptions) callWave(cmd *cobra.Command, call func(*tmoperator.Client) (tmoperator.WaveStatus, error)) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	status, err := call(client)
	if err != nil {
		return err
	}
	return o.printWaves(cmd, []tmoperator.WaveStatus{status})
}

func (o *operatorOptions) printWaves(cmd *cobra.Command, list []tmoperator.WaveStatus) error {
	if o.output == outputJSON {
		out := make([]waveOutput, 0, len(list))
		for _, w := range list {
			out = append(out, waveOutput{
				Name: w.Name, Pools: w.Pools, Reason: w.Reason, Phase: string(w.Phase), Leader: w.Leader,
				Total: w.Total, Done: w.Done, Active: w.Active, Note: w.Note,
			})
		}
		return printJSON(cmd, out)
	}
	rows := make([][]string, 0, len(list))
	for _, w := range list {
		done := fmt.Sprintf("%d/%d", w.Done, w.Total)
		rows = append(rows, []string{w.Name, string(w.Phase), done, strings.Join(w.Pools, ","), strings.Join(w.Active, ","), w.Note})
	}
	return printTable(cmd, []string{"NAME", "PHASE", "DONE", "POOLS", "ACTIVE", "NOTE"}, rows)
}
