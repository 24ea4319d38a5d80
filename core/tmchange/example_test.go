package tmchange_test

import (
	"fmt"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

func ExampleApply() {
	setup := []tmchange.Change{
		tmchange.AddZone{Name: "a", Region: "west"},
		tmchange.AddPool{Name: "steps", MaxUnavailable: 1},
		tmchange.AddInstance{Name: "i1", Address: "127.0.0.1:9001", Zone: "a", Rack: "r1", Pool: "steps", Slots: 8},
		tmchange.AddInstance{Name: "i2", Address: "127.0.0.1:9002", Zone: "a", Rack: "r1", Pool: "steps", Slots: 8},
	}
	config, err := tmchange.Apply(tmfleet.State{}, tmchange.AllLive, setup)
	fmt.Println(config.Instances().Len(), err)
	s := tmfleet.State{}.Next("setup", config)
	both := []tmchange.Change{tmchange.MarkDraining{Name: "i1"}, tmchange.MarkDraining{Name: "i2"}}
	_, err = tmchange.Apply(s, tmchange.AllLive, both)
	fmt.Println(err)
	// Output:
	// 2 <nil>
	// tmchange: request refused: changes[0].name: instance "i1" would be one of 2 unavailable instances of pool "steps", expected at most 1 unavailable, the budget of the pool
	// changes[1].name: instance "i2" would be one of 2 unavailable instances of pool "steps", expected at most 1 unavailable, the budget of the pool
}
