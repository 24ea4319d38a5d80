package main

import (
	"strconv"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmoperator"
)

var poolListing = listing{
	section: "pools",
	header:  []string{"NAME", "INSTANCES", "UNAVAILABLE", "BUDGET"},
	rows: func(c tmfleet.Config) [][]string {
		usage := tmchange.UsageOf(c, tmchange.AllLive)
		var rows [][]string
		for name, p := range c.Pools().All() {
			u := usage[name]
			rows = append(rows, []string{name, strconv.Itoa(u.Size), strconv.Itoa(u.Unavailable), strconv.Itoa(p.Budget().MaxUnavailable())})
		}
		return rows
	},
}

func newPoolCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("pool", "Add, remove and list pools, and move instances between them",
		o.newPoolAdd(),
		o.newNameCommand("remove NAME", "Remove a pool without instances and queues", "pool remove spares",
			func(name string) tmchange.Change { return tmchange.RemovePool{Name: name} }),
		o.newPoolSetBudget(),
		o.newListCommand("pools; UNAVAILABLE leaves out instances that are not live", poolListing),
		o.newPoolMove(),
		o.newNameCommand("finish-move INSTANCE", "Finish a move at once, even while tasks run; entries do it when none runs", "pool finish-move worker-7",
			func(name string) tmchange.Change { return tmchange.FinishMove{Name: name} }))
}

func (o *operatorOptions) newPoolAdd() *cobra.Command {
	var pool tmchange.AddPool
	cmd := o.newNameCommand("add NAME", "Add a pool", "pool add spares --max-unavailable 2",
		func(name string) tmchange.Change {
			pool.Name = name
			return pool
		})
	cmd.Flags().IntVar(&pool.MaxUnavailable, "max-unavailable", 0, "availability budget: how many instances may be unavailable at a time, at least 1")
	markRequired(cmd, "max-unavailable")
	return cmd
}

func (o *operatorOptions) newPoolSetBudget() *cobra.Command {
	return o.newChangeCommand("set-budget NAME INSTANCES", "Set the availability budget of a pool", "pool set-budget spares 2", 2,
		func(args []string) (tmchange.Change, error) {
			n, err := parseNumber("INSTANCES", args[1])
			return tmchange.SetBudget{Pool: args[0], MaxUnavailable: n}, err
		})
}

func (o *operatorOptions) newPoolMove() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "move INSTANCE POOL",
		Short: "Move an instance to another pool",
		Long: `Move an instance to another pool. The instance gets no new work from now on. It
joins the pool when it runs no task, without a further command. The budget of its
present pool has to permit one more unavailable instance. "turmericmoor instance
serve" cancels the move.`,
		Example: "  turmericmoor pool move worker-7 spares",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := o.retry(cmd.Context(), func(client *tmoperator.Client, id string) (tmoperator.ChangeStatus, error) {
				return client.Move(cmd.Context(), tmoperator.MoveRequest{ID: id, Instance: args[0], Pool: args[1]})
			})
			if err != nil {
				return err
			}
			return o.printStatus(cmd, status)
		},
	}
	o.addChangeID(cmd)
	return cmd
}
