package tmroute_test

import (
	"fmt"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmroute"
)

func ExamplePicker() {
	clock := tmclock.NewManual(1)
	rng := rand.New(rand.NewPCG(1, 2))
	health := tmroute.NewHealth(clock, rng)
	p := tmroute.NewPicker(clock, rng, health, tmroute.NewRamps(clock))
	p.Update(tmroute.Endpoint{Name: "w1", Pool: "p", Zone: "a", Leased: 1, Slots: 8, Usable: true})
	for range 2 {
		name, ok := p.Pick(tmroute.Criteria{Pool: "p", Zone: "a"})
		fmt.Printf("%q %v\n", name, ok)
	}
	p.Finish("w1", tmroute.Kind{Team: "crews", Queue: "scans"}, false)
	fmt.Println(p.IdleEndpoints("p"))
	// Output:
	// "w1" true
	// "" false
	// 1
}

func ExamplePlanner() {
	endpoints := []tmroute.EndpointSlots{{Name: "w1", Slots: 8}, {Name: "w2", Slots: 8}}
	t := tmroute.NewPlanner().Plan(endpoints, map[string]int{"entry-1": 30, "entry-2": 10})
	fmt.Println(t.Get("w1", "entry-1"), t.Get("w1", "entry-2"))
	// Output: 6 2
}
