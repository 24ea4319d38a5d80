package tmwave_test

import (
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
)

func ExampleRunner_Next() {
	var cfg tmfleet.Config
	cfg = cfg.WithZones(cfg.Zones().With("a", tmfleet.NewZone("a", "west", false)))
	cfg = cfg.WithPools(cfg.Pools().With("scans", tmfleet.NewPool("scans", tmfleet.NewBudget(1))))
	endpoints := map[string]tmwave.Endpoint{}
	for _, name := range []string{"w1", "w2"} {
		in := tmfleet.NewInstance(tmfleet.InstanceParams{Name: name, Zone: "a", Rack: "r1", Pool: "scans", Slots: 8})
		cfg = cfg.WithInstances(cfg.Instances().With(name, in))
		endpoints[name] = tmwave.Endpoint{Live: true, State: tmwave.EndpointServing, Boots: 3}
	}
	plan, err := tmwave.NewPlan(cfg, tmwave.PlanParams{Pools: []string{"scans"}, Cycle: 5 * tmclock.Minute})
	fmt.Println(err)
	runner := tmwave.NewRunner(plan, tmclock.NewManual(1))
	progress, steps := runner.Next(tmwave.NewProgress(plan), tmwave.View{Config: cfg, Endpoints: endpoints})
	for _, s := range steps {
		fmt.Println(s.Kind, s.Instance, s.Boots)
	}
	fmt.Println(progress.Count(tmwave.Waiting), progress.Ended())
	// Output:
	// <nil>
	// mark_draining w1 3
	// 1 false
}

func ExampleElector() {
	clock := tmclock.NewManual(1)
	elector := tmwave.NewElector("entry-2#9", clock)
	row := tmwave.Lease{Leader: "entry-1#4", Counter: 7}
	_, write := elector.Observe(row)
	fmt.Println(write)
	clock.Advance(10 * tmclock.Second)
	next, write := elector.Observe(row)
	fmt.Println(write, next.Leader, next.Counter)
	// Output:
	// false
	// true entry-2#9 8
}
