package tmorder

import (
	"cmp"
	"slices"
	"sort"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Place is an endpoint on which tasks that need a reservation may run.
type Place struct {
	// Free is what is free now, Ends the expected ends of the runs that will free more.
	Free tmjob.Resources
	Ends []End
	// Max is the maximum number of tasks, 0 for no maximum.
	Max int64
}

// End is the expected end of a run, and what it will free.
type End struct {
	At    tmclock.Millis
	Frees tmjob.Resources
}

// freeAt returns what is free at a time if nothing else starts.
func (p *Place) freeAt(at tmclock.Millis) tmjob.Resources {
	free := p.Free
	for _, e := range p.Ends {
		if !e.At.After(at) {
			free = free.Add(e.Frees)
		}
	}
	return free
}

// slotsAt returns how many tasks of a size fit at a time.
func (p *Place) slotsAt(at tmclock.Millis, size tmjob.Resources, tasks int64) int64 {
	if p.Max > 0 {
		tasks = min(tasks, p.Max)
	}
	return size.CountIn(p.freeAt(at), tasks)
}

// Reservation is capacity that is kept for tasks which can't start now.
type Reservation struct {
	// At is when all the tasks fit.
	At tmclock.Millis
	// Counts has the number of tasks for each place, Spare what is left there at that time.
	Counts []int64
	Spare  []tmjob.Resources
}

// Reserve finds the earliest time at which that many tasks of a size fit at once, and the
// places that have the most room for them then. Whatever ends before that time may still
// start there (EASY backfilling, Lifka 1995). It reports false if they never fit.
func Reserve(tasks int64, size tmjob.Resources, places []Place, now tmclock.Millis) (Reservation, bool) {
	times := []tmclock.Millis{now}
	for i := range places {
		for _, e := range places[i].Ends {
			times = append(times, max(now, e.At))
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	first := sort.Search(len(times), func(i int) bool {
		sum := int64(0)
		for k := range places {
			sum += places[k].slotsAt(times[i], size, tasks)
		}
		return sum >= tasks
	})
	if first == len(times) {
		return Reservation{}, false
	}
	return assignPlaces(tasks, size, places, times[first]), true
}

// assignPlaces reserves the places with the most slots, of which the fewest are needed.
func assignPlaces(tasks int64, size tmjob.Resources, places []Place, at tmclock.Millis) Reservation {
	r := Reservation{At: at, Counts: make([]int64, len(places)), Spare: make([]tmjob.Resources, len(places))}
	slots := make([]int64, len(places))
	byRoom := make([]int, len(places))
	for i := range places {
		slots[i], byRoom[i] = places[i].slotsAt(at, size, tasks), i
	}
	slices.SortStableFunc(byRoom, func(a, b int) int { return cmp.Compare(slots[b], slots[a]) })
	for _, i := range byRoom {
		n := min(tasks, slots[i])
		tasks -= n
		r.Counts[i] = n
		r.Spare[i] = places[i].freeAt(at).Sub(tmjob.Resources{CPU: size.CPU * n, Mem: size.Mem * n, GPU: size.GPU * n})
	}
	return r
}
