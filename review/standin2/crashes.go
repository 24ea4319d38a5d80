package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["crashes"] = crashes }

const (
	lastingTasks = 5
	mayMiss      = 1
	// Up to crashCount workers crash one after the other. Each is down for downTime, less than
	// the 4.5 s of the site files, and at most two of sixteen are down at a time, less than their
	// share of 0.14.
	crashCount = 10
	downTime   = 1500 * time.Millisecond
)

// crashes: workers crash one after the other, each time the one that runs task 0 of a job that
// lasts. None of its runs ends failed and nobody cancels it.
func crashes(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, strings.Split("aaaaaaaaaaaaaaaa", ""), route("watch", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	id := jobID(1)
	job := map[string]any{"spec": "last", "steps": []map[string]any{{
		"count": lastingTasks, "cpu": 2600, "memMb": 4000, "estimatedMs": 1000, "longRunning": true, "mayMiss": mayMiss, "antiAffinity": 1,
	}}}
	if err := s.submit("watch", id, job); err != nil {
		return nil, err
	}
	name := func(i int) string { return fmt.Sprintf("%s.0.0.%d", id, i) }
	allRun := func() bool {
		for i := range lastingTasks {
			if s.runnerOf(name(i)) == nil {
				return false
			}
		}
		return true
	}
	if !await(10*time.Second, allRun) {
		return nil, fmt.Errorf("the tasks did not start")
	}
	time.Sleep(5 * time.Second)
	for i := 0; trouble && i < crashCount; i++ {
		var w *worker
		if !await(8*time.Second, func() bool { w = s.runnerOf(name(0)); return w != nil }) {
			break
		}
		time.Sleep(500 * time.Millisecond)
		w.crash()
		time.AfterFunc(downTime, func() { w.start(0) })
	}
	// Long after the last crash: the whole deployment is calm.
	time.Sleep(12 * time.Second)
	found := &finding{}
	if state := s.state("watch", id); state == "failed" || state == "cancelled" {
		found.addOther("LOST: the job is shown as %s; %d of its runs ended failed, and nobody cancelled it", state, failedEnds(rec, id))
	}
	time.Sleep(4 * time.Second)
	for i := range lastingTasks {
		if s.runnerOf(name(i)) == nil {
			found.addOther("LOST: task %s, which lasts, does not run 16 s after the last crash", name(i))
		}
	}
	checkMayMiss(rec, id, found)
	return found, nil
}

func failedEnds(rec *record, id string) int {
	n := 0
	for _, e := range rec.endsOf(id) {
		if e.how == "failed" {
			n++
		}
	}
	return n
}

// checkMayMiss checks rule AVAIL: a stop ends a task that is at work on a sound worker while
// mayMiss others of its step were ended by such stops and have not started again.
func checkMayMiss(rec *record, id string, found *finding) {
	stopped := map[string]time.Time{}
	starts := rec.startsOf(id)
	for _, e := range rec.endsOf(id) {
		if e.how != "stopped" || !e.atWork {
			continue
		}
		away := 0
		for task, at := range stopped {
			again := false
			for _, st := range starts {
				again = again || st.task == task && st.at.After(at) && st.at.Before(e.at)
			}
			if task != e.task && !again {
				away++
			}
		}
		if away >= mayMiss {
			found.add("AVAIL: a stop ended %s at work on %s while %d others of its step were away by stops, and %d may be", e.task, e.worker, away, mayMiss)
		}
		stopped[e.task] = e.at
	}
}

// runnerOf returns the worker on which a task runs, or nil.
func (s *site) runnerOf(task string) *worker {
	for _, w := range s.workers {
		for _, k := range w.running() {
			if k.task == task {
				return w
			}
		}
	}
	return nil
}
