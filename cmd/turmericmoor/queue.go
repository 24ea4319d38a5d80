package main

import (
	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

var queueListing = listing{
	section: "queues",
	header:  []string{"NAME", "POOL", "OPEN", "TEAM"},
	rows: func(c tmfleet.Config) [][]string {
		var rows [][]string
		for name, q := range c.Queues().All() {
			rows = append(rows, []string{name, q.Pool(), yesNo(q.Open()), q.Team()})
		}
		return rows
	},
}

func newQueueCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("queue", "Add, remove and list queues",
		o.newQueueAdd(),
		o.newNameCommand("remove NAME", "Remove a queue", "queue remove scans",
			func(name string) tmchange.Change { return tmchange.RemoveQueue{Name: name} }),
		o.newListCommand("queues", queueListing))
}

func (o *operatorOptions) newQueueAdd() *cobra.Command {
	var queue tmchange.AddQueue
	cmd := o.newNameCommand("add NAME", "Add a queue",
		"queue add scans --pool steps\n  turmericmoor queue add public --pool steps --open --team crews",
		func(name string) tmchange.Change {
			queue.Name = name
			return queue
		})
	cmd.Flags().StringVar(&queue.Pool, "pool", "", "pool that serves the queue")
	cmd.Flags().BoolVar(&queue.Open, "open", false, "take work without a key")
	cmd.Flags().StringVar(&queue.Team, "team", "", "team that work on an open queue counts for")
	markRequired(cmd, "pool")
	return cmd
}
