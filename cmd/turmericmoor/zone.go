package main

import (
	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

var zoneListing = listing{
	section: "zones",
	header:  []string{"NAME", "REGION", "OUT"},
	rows: func(c tmfleet.Config) [][]string {
		var rows [][]string
		for name, z := range c.Zones().All() {
			rows = append(rows, []string{name, z.Region(), yesNo(z.OutOfService())})
		}
		return rows
	},
}

const zoneOutHelp = `Take an availability zone out of service. No task starts there after 5 s, and
tasks that run there may end. Its instances count as unavailable, so that waves
and moves pause where the budgets are used up. Entries in the zone go on serving
callers.`

func newZoneCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("zone", "Add availability zones, take them out and put them back",
		o.newZoneAdd(),
		withLongHelp(o.newNameCommand("out NAME", "Take a zone out at once, whatever the budgets say", "zone out zone-a",
			func(name string) tmchange.Change { return tmchange.ZoneOut{Name: name} }), zoneOutHelp),
		o.newNameCommand("in NAME", "Put a zone back into service", "zone in zone-a",
			func(name string) tmchange.Change { return tmchange.ZoneIn{Name: name} }),
		o.newListCommand("availability zones", zoneListing))
}

func (o *operatorOptions) newZoneAdd() *cobra.Command {
	var zone tmchange.AddZone
	cmd := o.newNameCommand("add NAME", "Add an availability zone", "zone add zone-a --region west",
		func(name string) tmchange.Change {
			zone.Name = name
			return zone
		})
	cmd.Flags().StringVar(&zone.Region, "region", "", "region of the zone")
	markRequired(cmd, "region")
	return cmd
}
