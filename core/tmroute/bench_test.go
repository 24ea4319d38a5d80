package tmroute

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures Pick followed by Finish at the size of today's fleet,
// the size expected in two years, and ten times that.
func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{74, 740, 7400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFleet(b, workers)
			kind := Kind{Team: "a", Queue: "q"}
			b.ReportAllocs()
			for b.Loop() {
				name, _ := f.picker.Pick(Criteria{Pool: "p", Zone: "z1"})
				f.picker.Finish(name, kind, false)
			}
		})
	}
}

// BenchmarkPlan measures a new plan for one pool after a change of demand.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{74, 740, 7400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			endpoints := make([]EndpointSlots, workers)
			for i := range endpoints {
				endpoints[i] = EndpointSlots{Name: fmt.Sprint(i), Slots: 8}
			}
			demand := map[string]int{}
			for i := range 9 {
				demand[fmt.Sprint(i)] = 100 + 10*i
			}
			p := NewPlanner()
			b.ReportAllocs()
			for b.Loop() {
				demand["0"] = 10_000 - demand["0"]
				p.Plan(endpoints, demand)
			}
		})
	}
}
