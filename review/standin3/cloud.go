package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The platform's list of machines, with moves between pools and upkeep. Fences are checked.

type machine struct {
	name, pool, state string
	worker            *worker
	fence             int64
	// upkeeps holds the waves for which the upkeep of the machine has begun.
	upkeeps map[int64]bool
}

type cloud struct {
	w        *world
	mu       sync.Mutex
	machines map[string]*machine
}

func (c *cloud) add(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[m.name] = m
}

func (c *cloud) setState(name, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[name].state = state
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := c.serve(r)
	writeJSON(w, status, body)
}

func (c *cloud) serve(r *http.Request) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/-/machines":
		return http.StatusOK, c.list()
	case "/-/machine-move":
		var o struct {
			Machine string `json:"machine"`
			Pool    string `json:"pool"`
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil || c.machines[o.Machine] == nil {
			return http.StatusBadRequest, nil
		}
		return c.move(r, c.machines[o.Machine], o.Pool)
	case "/-/machine-upkeep":
		var o struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil || c.machines[o.Machine] == nil {
			return http.StatusBadRequest, nil
		}
		return c.upkeep(r, c.machines[o.Machine], o.Wave)
	}
	return http.StatusNotFound, nil
}

func (c *cloud) list() any {
	names := []string{}
	for n := range c.machines {
		names = append(names, n)
	}
	sort.Strings(names)
	list := []any{}
	for _, n := range names {
		m := c.machines[n]
		list = append(list, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.worker.zone,
			"labels": m.worker.labels, "capacity": m.worker.capacity, "id": m.worker.id,
		})
	}
	return map[string]any{"machines": list, "nextToken": ""}
}

// order checks an order about a machine that is done already or not. It returns the answer, or 0
// if the order is to be carried out.
func (c *cloud) order(r *http.Request, m *machine, done bool) (int, any) {
	token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if token < m.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	m.fence = token
	switch {
	case done:
		return http.StatusOK, nil
	case m.state != "up":
		return http.StatusConflict, map[string]any{"reason": "busy"}
	}
	return 0, nil
}

func (c *cloud) move(r *http.Request, m *machine, pool string) (int, any) {
	if status, body := c.order(r, m, m.pool == pool); status != 0 {
		return status, body
	}
	c.w.note("machine %s moves from %s to %s", m.name, m.pool, pool)
	m.pool = pool
	c.replaceWorker(m, "moving", moveTime)
	return http.StatusOK, nil
}

func (c *cloud) upkeep(r *http.Request, m *machine, wave int64) (int, any) {
	if status, body := c.order(r, m, m.upkeeps[wave]); status != 0 {
		return status, body
	}
	c.w.note("upkeep of machine %s for wave %d begins", m.name, wave)
	if m.upkeeps == nil {
		m.upkeeps = map[int64]bool{}
	}
	m.upkeeps[wave] = true
	c.replaceWorker(m, "upkeep", upkeepTime)
	return http.StatusOK, nil
}

// replaceWorker ends the worker of a machine. A new one follows after a time. The caller holds mu.
func (c *cloud) replaceWorker(m *machine, state string, after time.Duration) {
	old := m.worker
	m.state = state
	go func() {
		old.crash()
		c.w.store.remove("servers", old.id)
		time.Sleep(after)
		k := c.w.newWorker(m.name, m.pool, old.zone, old.rack, old.capacity)
		c.mu.Lock()
		m.worker, m.state = k, "up"
		c.mu.Unlock()
		if !c.w.isStandby(m.pool) {
			k.start()
		}
	}()
}

// remove takes a machine away for good.
func (c *cloud) remove(name string) {
	c.mu.Lock()
	m := c.machines[name]
	delete(c.machines, name)
	c.mu.Unlock()
	m.worker.crash()
	c.w.store.remove("servers", m.worker.id)
	c.w.note("machine %s is gone for good", name)
}

// withoutUpkeep returns those of the machines that are there and whose upkeep for a wave has not
// begun.
func (c *cloud) withoutUpkeep(wave int64, names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []string
	for _, n := range names {
		if m := c.machines[n]; m != nil && !m.upkeeps[wave] {
			left = append(left, n)
		}
	}
	return left
}
