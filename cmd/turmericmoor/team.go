package main

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

var teamListing = listing{
	section: "teams",
	header:  []string{"NAME", "SHARE", "LIMIT", "URGENT"},
	rows: func(c tmfleet.Config) [][]string {
		var rows [][]string
		for name, t := range c.Teams().All() {
			rows = append(rows, []string{name, strconv.Itoa(t.Share()), strconv.Itoa(t.Limit()), yesNo(t.Urgent())})
		}
		return rows
	},
}

func newTeamCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("team", "Add, remove and list teams",
		o.newTeamAdd(),
		o.newNameCommand("remove NAME", "Remove a team without keys and open queues", "team remove crews",
			func(name string) tmchange.Change { return tmchange.RemoveTeam{Name: name} }),
		o.newListCommand("teams", teamListing))
}

func (o *operatorOptions) newTeamAdd() *cobra.Command {
	var team tmchange.AddTeam
	cmd := o.newNameCommand("add NAME", "Add a team", "team add crews --share 20 --limit 40",
		func(name string) tmchange.Change {
			team.Name = name
			return team
		})
	cmd.Flags().IntVar(&team.Share, "share", 0, "weight of the team when the fleet is full, relative to the other teams")
	cmd.Flags().IntVar(&team.Limit, "limit", 0, "largest number of tasks at a time in the whole fleet")
	cmd.Flags().BoolVar(&team.Urgent, "urgent", false, "the team may mark requests as urgent")
	markRequired(cmd, "share", "limit")
	return cmd
}

func newShareCommand() *cobra.Command {
	o := &operatorOptions{}
	set := o.newChangeCommand("set TEAM SHARE", "Set the share of a team", "share set crews 20", 2,
		func(args []string) (tmchange.Change, error) {
			n, err := parseNumber("SHARE", args[1])
			return tmchange.SetShare{Team: args[0], Share: n}, err
		})
	return o.newGroup("share", "Set the shares of teams, their weights on a full fleet", set)
}

func newLimitCommand() *cobra.Command {
	o := &operatorOptions{}
	set := o.newChangeCommand("set TEAM LIMIT", "Set the upper limit of a team in tasks", "limit set crews 40", 2,
		func(args []string) (tmchange.Change, error) {
			n, err := parseNumber("LIMIT", args[1])
			return tmchange.SetLimit{Team: args[0], Limit: n}, err
		})
	return o.newGroup("limit", "Set the upper limits of teams, in tasks at a time", set)
}

func parseNumber(name, value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, fmt.Errorf("%w: %s %q, expected a whole number", errUsage, name, value)
	}
	return n, nil
}
