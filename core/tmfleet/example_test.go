package tmfleet_test

import (
	"fmt"
	"slices"

	"turmericmoor/core/tmfleet"
)

func ExampleTable() {
	var teams tmfleet.Table[string, tmfleet.Team]
	teams = teams.With("spares", tmfleet.NewTeam("spares", 2, 40, false))
	teams = teams.With("crews", tmfleet.NewTeam("crews", 1, 20, true))
	for name, team := range teams.All() {
		fmt.Println(name, team.Share(), team.Limit())
	}
	// Output:
	// crews 1 20
	// spares 2 40
}

func ExampleState_Next() {
	var s tmfleet.State
	zones := tmfleet.Table[string, tmfleet.Zone]{}.With("a", tmfleet.NewZone("a", "west", false))
	s = s.Next("change-1", s.Config().WithZones(zones))
	fmt.Println(s.Version(), s.HasChange("change-1"))
	// Output: 1 true
}

func ExampleOwner() {
	members := []string{"entry-1", "entry-2", "entry-3"}
	owner := tmfleet.Owner("w7", members)
	others := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m != owner && m != "entry-1" })
	fmt.Println(owner == tmfleet.Owner("w7", others))
	// Output: true
}
