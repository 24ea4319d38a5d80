package main

import (
	"fmt"
	"time"
)

func init() { cases["silent"] = silent }

// contact is contactMs: after it the machines count as in touch again.
const contact = 3 * time.Second

// silent: all open connections to the workers fall silent at one moment; new ones work. Nothing
// else happens, and all workers are sound.
func silent(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, []string{"a", "a", "a", "a", "a", "a"}, route("watch", false), route("scan", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	id := jobID(1)
	lasting := map[string]any{"spec": "last", "steps": []map[string]any{{
		"count": lastingTasks, "cpu": 2600, "memMb": 4000, "estimatedMs": 1000, "longRunning": true, "mayMiss": mayMiss, "antiAffinity": 1,
	}}}
	if err := s.submit("watch", id, lasting); err != nil {
		return nil, err
	}
	// Short jobs of many tasks, as they come all day.
	job := map[string]any{"spec": "ms=300", "steps": []map[string]any{{"count": 100, "cpu": 1500, "memMb": 1000, "estimatedMs": 300}}}
	for i := range 12 {
		if err := s.submit("scan", jobID(10+i), job); err != nil {
			return nil, err
		}
		time.Sleep(700 * time.Millisecond)
	}
	if len(rec.startsOf(id)) < lastingTasks {
		return nil, fmt.Errorf("the lasting tasks did not start")
	}
	time.Sleep(2 * time.Second)
	fell := time.Now()
	if trouble {
		n := 0
		for _, w := range s.workers {
			n += w.silence()
		}
		rec.add(n, "open connections to the workers fall silent")
	}
	time.Sleep(22 * time.Second)
	found := &finding{}
	var away []end
	for _, e := range rec.endsOf(id) {
		if e.how != "lapsed" || !e.atWork || e.at.Sub(fell) < contact {
			continue
		}
		if len(away) >= mayMiss {
			found.add("AVAIL: the lease of %s at work on %s, a sound worker, lapsed %.1f s after the connections fell silent, while %d others of its step were away by lapses, and %d may be",
				e.task, e.worker, e.at.Sub(fell).Seconds(), len(away), mayMiss)
		}
		away = append(away, e)
	}
	besides := &finding{}
	checkLasting(rec, id, fell.Add(contact), besides)
	found.others = besides.breaks
	return found, nil
}

// checkLasting checks the part of rule LOST about tasks that last: none is without a run for longer
// than 6 s and 3 s more after its last one, if all is calm from 4 s before these 3 s on.
func checkLasting(rec *record, id string, calmSince time.Time, found *finding) {
	for i := range lastingTasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		for _, gap := range rec.gaps(task) {
			from := gap.from.Add(6 * time.Second)
			if calm := calmSince.Add(4 * time.Second); calm.After(from) {
				from = calm
			}
			if gap.to.Sub(from) > 3*time.Second {
				found.add("LOST: task %s, which lasts, did not run from %.1f s to %.1f s; it was due again by %.1f s", task,
					gap.from.Sub(rec.began).Seconds(), gap.to.Sub(rec.began).Seconds(), from.Add(3*time.Second).Sub(rec.began).Seconds())
			}
		}
	}
}
