package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["starved"] = starved }

const (
	// In its turn a queue asks for about five times its mean for turnTime, which is turnLoad times
	// what its pool holds, and for a twentieth of that afterwards.
	turnTime = 5 * time.Second
	turnLoad = 2.4
	// lostInTurn is when in the turn the worker is lost.
	lostInTurn = time.Second
	// poolCores is what the eight workers hold. Short tasks take a core for a second on average.
	poolCores = 8 * 32
)

// starved: one of eight workers is lost for good in the turn of the queue of short jobs. A task that
// lasts, and is larger than the short ones, has to run again elsewhere.
func starved(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, []string{"a", "a", "a", "a", "a", "a", "a", "a"}, route("watch", false), route("scan", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	id := jobID(1)
	lasting := map[string]any{"spec": "last", "steps": []map[string]any{{"count": lastingTasks, "cpu": 16000, "memMb": 4000, "estimatedMs": 1000, "longRunning": true, "antiAffinity": 1}}}
	if err := s.submit("watch", id, lasting); err != nil {
		return nil, err
	}
	first := id + ".0.0.0"
	if !await(10*time.Second, func() bool { return s.runnerOf(first) != nil }) {
		return nil, fmt.Errorf("the lasting task did not start")
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	calls := make(chan struct{})
	go s.turn(began, calls)
	time.Sleep(lostInTurn)
	calmSince := began
	if trouble {
		w := s.runnerOf(first)
		if w == nil {
			return nil, fmt.Errorf("the lasting task does not run")
		}
		w.mu.Lock()
		w.lost = true
		w.mu.Unlock()
		w.crash()
		calmSince = time.Now().Add(contact)
	}
	for range 20 {
		time.Sleep(time.Second)
		n := 0
		for _, w := range s.workers {
			n += len(w.running())
		}
		rec.add("tasks at the workers:", n)
	}
	<-calls
	found := &finding{}
	checkLasting(rec, id, calmSince, found)
	return found, nil
}

// turn hands the short jobs in.
func (s *site) turn(began time.Time, done chan struct{}) {
	defer close(done)
	due := 0.0
	sent := 0
	for last := began; time.Since(began) < 3*turnTime; {
		time.Sleep(2 * time.Millisecond)
		now := time.Now()
		rate := turnLoad * poolCores
		if now.Sub(began) > turnTime {
			rate /= 20
		}
		due += rate * now.Sub(last).Seconds()
		last = now
		for ; sent < int(due); sent++ {
			job := map[string]any{"spec": fmt.Sprintf("ms=%d", 600+rand.IntN(800)), "steps": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 500, "estimatedMs": 1000}}}
			go s.call(s.nodes[sent%len(s.nodes)], http.MethodPost, "/scan/"+jobID(100+sent), job)
		}
	}
}
