package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The figures of the placement policy, as the configuration of the queue has them.
const (
	decisionTime = 20 * time.Millisecond
	perItemTime  = 1 * time.Millisecond
	validity     = 3 * time.Second
)

// advice is the service that knows which workers may run a step.
type advice struct {
	w *world
	// turn is held by the call that is being handled: one at a time.
	turn    sync.Mutex
	mu      sync.Mutex
	tickets map[string]ticket
	n       int
	// allows decides whether a worker may run a step. That never changes.
	allows func(step string, worker *worker) bool
}

type ticket struct {
	step, worker string
	life         int
	until        time.Time
}

func (a *advice) isValid(step, worker string, life int, name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[name]
	return ok && t.step == step && t.worker == worker && t.life == life && time.Now().Before(t.until)
}

func (a *advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(decisionTime + time.Duration(len(q.Workers))*perItemTime)
	good := [][]string{}
	for _, id := range q.Workers {
		k := a.w.worker(id)
		if k == nil || !a.allows(q.Step, k) {
			continue
		}
		k.mu.Lock()
		life, up := k.life, k.up
		k.mu.Unlock()
		if !up {
			continue
		}
		a.mu.Lock()
		a.n++
		name := fmt.Sprintf("t-%d", a.n)
		a.tickets[name] = ticket{q.Step, id, life, time.Now().Add(validity)}
		a.mu.Unlock()
		good = append(good, []string{id, name})
	}
	a.w.note("advice on %s: %v", q.Step, good)
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "validityMs": validity.Milliseconds()})
}
