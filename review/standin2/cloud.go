package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is maintenanceS of the settings.
const upkeepTime = 2 * time.Second

// cloud stands in for the list of machines and the orders about them. It moves no machine.
type cloud struct {
	rec     *record
	workers []*worker

	mu sync.Mutex
	// tokens holds the highest fence number by machine, waves the machines of each wave.
	tokens map[string]int64
	waves  map[int64]map[string]bool
	done   map[string]bool
	// late, if above 0, is how long after its call the next upkeep is carried out, without an
	// answer.
	late time.Duration
	// lateOrder is closed when such a call has arrived.
	lateOrder chan struct{}
	// begun is called at the begin of each upkeep with the number of others that are down.
	begun func(machine string, holder string, token int64, others int)
}

func newCloud(rec *record, workers []*worker) *cloud {
	return &cloud{
		rec: rec, workers: workers, tokens: map[string]int64{}, waves: map[int64]map[string]bool{}, done: map[string]bool{},
		lateOrder: make(chan struct{}),
	}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.list)
	mux.HandleFunc("POST /-/machine-upkeep", c.upkeep)
	mux.HandleFunc("POST /-/machine-move", func(rw http.ResponseWriter, _ *http.Request) {
		// There is one pool.
		rw.WriteHeader(http.StatusBadRequest)
	})
	return mux
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	for _, w := range c.workers {
		w.mu.Lock()
		if w.lost {
			w.mu.Unlock()
			continue
		}
		state, id := "up", w.id
		switch {
		case w.inUpkeep:
			state, id = "upkeep", ""
		case !w.up:
			state, id = "down", ""
		}
		list = append(list, map[string]any{
			"machine": w.machine, "pool": w.service, "state": state, "zone": w.zone, "labels": []string{w.kind, w.rack},
			"capacity": capacity, "id": id,
		})
		w.mu.Unlock()
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	c.mu.Lock()
	late := c.late
	c.late = 0
	c.mu.Unlock()
	if late > 0 {
		c.rec.add("order for the upkeep of", q.Machine, "by", holder, "token", token, "gets no answer, and is carried out in", late)
		time.AfterFunc(late, func() {
			status, reason := c.begin(q.Machine, holder, token, q.Wave)
			c.rec.add("late order for the upkeep of", q.Machine, "by", holder, "token", token, "is carried out:", status, reason)
		})
		close(c.lateOrder)
		<-r.Context().Done()
		return
	}
	status, reason := c.begin(q.Machine, holder, token, q.Wave)
	c.rec.add("order for the upkeep of", q.Machine, "by", holder, "token", token, "answer", status, reason)
	writeJSON(rw, status, map[string]string{"reason": reason})
}

// begin carries an order out.
func (c *cloud) begin(machine, holder string, token, wave int64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var w *worker
	others := 0
	for _, other := range c.workers {
		other.mu.Lock()
		if other.machine == machine {
			w = other
		} else if other.inUpkeep {
			others++
		}
		other.mu.Unlock()
	}
	switch {
	case w == nil || w.lost:
		return http.StatusBadRequest, "no such machine"
	case token < c.tokens[machine]:
		return http.StatusConflict, "fence"
	}
	c.tokens[machine] = token
	w.mu.Lock()
	busy := !w.up || w.inUpkeep
	w.mu.Unlock()
	switch {
	case !c.waves[wave][machine]:
		return http.StatusConflict, "wave"
	case c.done[machine]:
		return http.StatusOK, ""
	case busy:
		return http.StatusConflict, "busy"
	}
	c.done[machine] = true
	c.rec.add("upkeep of", machine, "begins; others down:", others)
	if c.begun != nil {
		c.begun(machine, holder, token, others)
	}
	w.mu.Lock()
	w.inUpkeep = true
	w.mu.Unlock()
	w.crash()
	w.st.remove("servers", w.id)
	time.AfterFunc(upkeepTime, func() {
		w.mu.Lock()
		w.inUpkeep = false
		w.id += "b"
		w.mu.Unlock()
		w.start(0)
		c.rec.add("upkeep of", machine, "is over")
	})
	return http.StatusOK, ""
}
