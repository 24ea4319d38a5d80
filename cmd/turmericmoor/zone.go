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
			rows = append(rows, []string{name, z.Region(), yesNo(z.Out())})
		}
		return rows
	},
}

func newZoneCommand() *cobra.Command {
	o := &operator{}
	return o.newGroup("zone", "Add availability zones, take them out and put them back",
		o.newZoneAdd(),
		o.newNameCommand("out NAME", "Take a zone out at once, whatever the budgets say", "zone out zone-a",
			func(name string) tmchange.Change { return tmchange.ZoneOut{Name: name} }),
		o.newNameCommand("in NAME", "Put a zone back", "zone in zone-a",
			func(name string) tmchange.Change { return tmchange.ZoneIn{Name: name} }),
		o.newListCommand("availability zones", zoneListing))
}

func (o *operator) newZoneAdd() *cobra.Command {
	var zone tmchange.AddZone
	cmd := o.newNameCommand("add NAME", "Add an availability zone", "zone add zone-a --region west",
		func(name string) tmchange.Change {
			zone.Name = name
			return zone
		})
	cmd.Flags().StringVar(&zone.Region, "region", "", "region of the zone")
	require(cmd, "region")
	return cmd
}
