package main

import (
	"strconv"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

// defaultSlots is the number of slots that current instances have.
const defaultSlots = 8

var instanceListing = listing{
	section: "instances",
	header:  []string{"NAME", "ADDRESS", "ZONE", "RACK", "POOL", "SLOTS", "DUTY", "MOVES TO"},
	rows: func(c tmfleet.Config) [][]string {
		var rows [][]string
		for name, i := range c.Instances().All() {
			rows = append(rows, []string{
				name, i.Address(), i.Zone(), i.Rack(), i.Pool(), strconv.Itoa(i.Slots()), i.Duty().String(), i.MoveTo(),
			})
		}
		return rows
	},
}

const leaveHelp = `Mark an instance as leaving. It gets no new work after 5 s, and its tasks may end.
The budget of its pool has to permit one more unavailable instance. Remove it
afterwards with "turmericmoor instance remove".`

const serveHelp = `Return an instance to service that leaves, drains or reboots, whatever the reason,
or cancel its move to another pool. An instance of a running wave is better
returned by "turmericmoor wave stop".`

func newInstanceCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("instance", "Add, remove and list instances, take them out of service and back",
		o.newInstanceAdd(),
		o.newNameCommand("remove NAME", "Remove an instance that leaves or is not live", "instance remove worker-7",
			func(name string) tmchange.Change { return tmchange.RemoveInstance{Name: name} }),
		withLongHelp(o.newNameCommand("leave NAME", "Stop new work on an instance that is taken away", "instance leave worker-7",
			func(name string) tmchange.Change { return tmchange.MarkLeaving{Name: name} }), leaveHelp),
		withLongHelp(o.newNameCommand("serve NAME", "Return an instance to service, or cancel its move", "instance serve worker-7",
			func(name string) tmchange.Change { return tmchange.MarkServing{Name: name} }), serveHelp),
		o.newListCommand("instances", instanceListing))
}

func (o *operatorOptions) newInstanceAdd() *cobra.Command {
	var in tmchange.AddInstance
	cmd := o.newNameCommand("add NAME", "Add an instance",
		"instance add worker-7 --address 10.0.1.7:9000 --zone zone-a --rack rack-2 --pool steps",
		func(name string) tmchange.Change {
			in.Name = name
			return in
		})
	f := cmd.Flags()
	f.StringVar(&in.Address, "address", "", "IP:port of the endpoint")
	f.StringVar(&in.Zone, "zone", "", "availability zone")
	f.StringVar(&in.Rack, "rack", "", "rack")
	f.StringVar(&in.Pool, "pool", "", "pool")
	f.IntVar(&in.Slots, "slots", defaultSlots, "tasks that the endpoint runs at a time")
	markRequired(cmd, "address", "zone", "rack", "pool")
	return cmd
}
