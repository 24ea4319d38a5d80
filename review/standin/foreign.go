package main

import (
	"fmt"
	"sort"
	"time"
)

func init() { cases["foreign"] = playForeign }

// playForeign: another writer puts an entry into the list of workers. It is like that of a
// worker that runs tasks, but for its id and its service, which no configuration names.
func playForeign(rec *record, trouble bool) (bool, error) {
	const (
		id    = "5c0e7a21d94b36f8"
		count = 6
		took  = 8 * time.Second
	)
	s, err := newSite(rec, 3, 4, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(string) time.Duration { return took }
	j := jobSpec{Spec: "contractor orders", Steps: []step{{Count: count, CPU: 7000, Mem: 13000, Estimate: took.Milliseconds()}}}
	if err := s.submit(id, j); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.mu.Lock()
		var w *worker
		for _, other := range f.workers {
			if len(other.runs) > 0 {
				w = other
			}
		}
		if w == nil {
			f.mu.Unlock()
			return false, fmt.Errorf("no task runs")
		}
		entry := map[string]any{
			"service": "zzz999-unnamed", "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{w.label, "r1-1"},
			"machine": w.machine, "clockMs": w.clock(), "seq": 1, "born": w.born,
		}
		f.mu.Unlock()
		rec.add("another writer puts servers/i-0000beef: the entry of %s with service %q", w.id, entry["service"])
		s.store.set("servers", "i-0000beef", entry)
	}
	rec.add("the job is shown as %q", s.awaitState(id, 30*time.Second))
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	var twice []string
	for name, t := range f.tasks {
		for _, c := range t.concurrent {
			twice = append(twice, name+": "+c)
		}
		if t.noted {
			for _, again := range t.startsAfterDone {
				twice = append(twice, name+": "+again)
			}
		}
	}
	sort.Strings(twice)
	for _, t := range twice {
		rec.add("TWICE %s", t)
	}
	if len(f.tasks) != count {
		return false, fmt.Errorf("%d of %d tasks were started", len(f.tasks), count)
	}
	return len(twice) > 0, nil
}
