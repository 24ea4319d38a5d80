package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["neverdone"] = neverdone }

const (
	// Of messages jobs that a team sends within poisonTime, poisonJobs can never be done: 5 of 100.
	messages   = 200
	poisonJobs = 10
	poisonTime = 3 * time.Second
	// wide is the number of tasks of such a job, the largest that the product accepts.
	wide = 10_000
	// otherJobs are those of the other team, which come afterwards.
	otherJobs = 10
	// finish is finish_s.
	finish = 14 * time.Second
)

// neverdone: a few jobs of one team require a label that no worker has. Later jobs, which can be
// done, have to run all the same.
func neverdone(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, []string{"a", "a", "a", "a", "a", "a", "a", "a"}, route("scan", false), route("orders", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	good := map[string]any{"spec": "ms=300", "steps": []map[string]any{{"count": 2, "cpu": 1000, "memMb": 500, "estimatedMs": 300}}}
	never := map[string]any{"spec": "ms=300", "steps": []map[string]any{{"count": wide, "cpu": 1000, "memMb": 500, "estimatedMs": 300, "requires": "kind-that-no-worker-has"}}}
	pause := time.NewTicker(poisonTime / messages)
	defer pause.Stop()
	accepted := 0
	for i := range messages {
		<-pause.C
		job := good
		if i%(messages/poisonJobs) == 0 {
			if !trouble {
				continue
			}
			job = never
		}
		status, _ := s.call(s.nodes[i%len(s.nodes)], http.MethodPost, "/scan/"+jobID(1000+i), job)
		if status == http.StatusOK {
			accepted++
		}
	}
	rec.add(accepted, "jobs of team-one were accepted")
	time.Sleep(2 * time.Second)
	var others []string
	for i := range otherJobs {
		id := jobID(10 + i)
		if status, _ := s.callAs(otherKey, s.nodes[i%len(s.nodes)], http.MethodPost, "/orders/"+id, good); status == http.StatusOK {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return nil, fmt.Errorf("no job of team-two was accepted")
	}
	rec.add("end of the traffic;", len(others), "jobs of team-two were accepted")
	time.Sleep(finish)
	found := &finding{}
	began := map[string]bool{}
	idle := true
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		for _, w := range s.workers {
			idle = idle && len(w.running()) == 0
		}
	}
	for _, id := range others {
		began[id] = len(rec.startsOf(id)) > 0
		_, answer := s.callAs(otherKey, s.nodes[0], http.MethodGet, "/orders/"+id, nil)
		if !began[id] {
			found.add("LOST: job %s of team-two, accepted, has not begun %.0f s after the end of the traffic; it is shown as %v, all 8 workers are sound, and all were idle for the last 4 s: %v",
				id, (finish + 4*time.Second).Seconds(), answer["state"], idle)
		}
	}
	return found, nil
}
