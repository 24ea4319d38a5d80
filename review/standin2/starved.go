package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["starved"] = starved }

const (
	// lastingGap is after which time a task that lasts has to run again: 6 s after its last run,
	// and 3 s more. The disruption is over 7 s before that ends.
	lastingGap = 9 * time.Second
	// overload is for how long short jobs come.
	overload = 24 * time.Second
)

// starved: one of eight workers is lost for good while the service is full of short work. A task
// that lasts and is larger than the short ones has to run again elsewhere.
func starved(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, []string{"a", "a", "a", "a", "a", "a", "a", "a"}, route("watch", false), route("scan", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	id := jobID(1)
	lasting := map[string]any{"spec": "last", "steps": []map[string]any{{"count": 3, "cpu": 12000, "memMb": 4000, "estimatedMs": 1000, "longRunning": true, "antiAffinity": 1}}}
	if err := s.submit("watch", id, lasting); err != nil {
		return nil, err
	}
	first := id + ".0.0.0"
	if !await(10*time.Second, func() bool { return s.runnerOf(first) != nil }) {
		return nil, fmt.Errorf("the lasting task did not start")
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		job := map[string]any{"spec": "ms=1000", "steps": []map[string]any{{"count": 30, "cpu": 1000, "memMb": 500, "estimatedMs": 1000}}}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			go s.call(s.nodes[i%len(s.nodes)], http.MethodPost, "/scan/"+jobID(100+i), job)
		}
	}()
	time.Sleep(8 * time.Second)
	w := s.runnerOf(first)
	if w == nil {
		return nil, fmt.Errorf("the lasting task does not run")
	}
	lost := time.Now()
	if trouble {
		w.crash()
	}
	found := &finding{}
	if trouble && !await(overload-4*time.Second, func() bool { return s.runnerOf(first) != nil }) || time.Since(lost) > lastingGap {
		found.add("LOST: task %s, which lasts, has not run for %.1f s after its worker was lost; the other 7 workers are sound", first, time.Since(lost).Seconds())
	}
	rec.add("the task runs again after", time.Since(lost).Seconds(), "s:", s.runnerOf(first) != nil)
	close(stop)
	<-done
	return found, nil
}
