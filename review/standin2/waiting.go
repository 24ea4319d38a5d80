package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["waiting"] = waiting }

const (
	// greyTime is how long the worker refuses all starts, the longest of the site files.
	greyTime = 6500 * time.Millisecond
	// countedAfter is visible_ms + 2 s.
	countedAfter = 5 * time.Second
	waitingJobs  = 6
)

// waiting: one of eight workers, the only one with the label that some jobs require, refuses all
// starts with 503. The jobs have not begun, and GET PREFIX has to count them.
func waiting(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, []string{"a", "a", "a", "a", "a", "a", "a", "b"}, route("scan", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	only := s.workers[len(s.workers)-1]
	job := map[string]any{"spec": "ms=500", "steps": []map[string]any{{"count": 1, "cpu": 2000, "memMb": 1000, "estimatedMs": 500, "requires": "b"}}}
	if err := s.submit("scan", jobID(1), job); err != nil {
		return nil, err
	}
	if !await(10*time.Second, func() bool { return len(rec.startsOf(jobID(1))) > 0 }) {
		return nil, fmt.Errorf("the first job did not start")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		only.mu.Lock()
		only.unhealthy = true
		only.mu.Unlock()
		rec.add("worker", only.id, "refuses starts with 503 from now on")
	}
	began := time.Now()
	for i := range waitingJobs {
		if err := s.submit("scan", jobID(10+i), job); err != nil {
			return nil, err
		}
	}
	accepted := time.Now()
	found := &finding{}
	for time.Since(accepted) < countedAfter+200*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
	}
	for time.Since(began) < greyTime-100*time.Millisecond {
		for _, n := range s.nodes {
			before := s.notBegun(10, waitingJobs)
			status, answer := s.call(n, http.MethodGet, "/scan/", nil)
			if status != http.StatusOK {
				continue
			}
			if count, _ := answer["waiting"].(float64); 2*int(count) < min(before, s.notBegun(10, waitingJobs)) {
				found.add("MIXED: %s gives %d as waiting; %d jobs were accepted over 5 s before and have not begun", n.name, int(count), before)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	only.mu.Lock()
	only.unhealthy = false
	only.mu.Unlock()
	rec.add("worker", only.id, "takes starts again")
	time.Sleep(4 * time.Second)
	rec.add("jobs that have not begun in the end:", s.notBegun(10, waitingJobs))
	return found, nil
}

// notBegun counts the jobs of which no task has started.
func (s *site) notBegun(first, count int) int {
	n := 0
	for i := range count {
		begun := false
		for _, st := range s.rec.startsOf(jobID(first + i)) {
			begun = begun || strings.HasPrefix(st.task, jobID(first+i))
		}
		if !begun {
			n++
		}
	}
	return n
}
