package tmshare_test

import (
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmshare"
)

type fixedLimit struct{}

func (fixedLimit) Available(string) int { return 100 }

func ExampleQueue() {
	usage := tmshare.NewUsage()
	usage.SetShares(tmfleet.NewTable(map[string]tmfleet.Team{
		"crews":  tmfleet.NewTeam("crews", 1, 10, false),
		"spares": tmfleet.NewTeam("spares", 2, 10, false),
	}))
	q := tmshare.NewQueue[string](tmclock.NewManual(1), usage, tmshare.Bounds{})
	for i := range 3 {
		for _, team := range []string{"crews", "spares"} {
			id := fmt.Sprint(team, i)
			_ = q.Push(tmshare.Request[string]{ID: id, Pool: "p", Team: team, Deadline: 1000})
		}
	}
	for range 4 {
		r, _ := q.Next("p", fixedLimit{})
		fmt.Println(r.ID)
	}
	// Output:
	// crews0
	// spares0
	// spares1
	// crews1
}

func ExampleDivide() {
	fmt.Println(tmshare.Divide(12, []tmshare.Claim{
		{Demand: 2, Limit: 100, Share: 1},
		{Demand: 100, Limit: 100, Share: 1},
		{Demand: 100, Limit: 4, Share: 3},
	}))
	// Output: [2 6 4]
}
