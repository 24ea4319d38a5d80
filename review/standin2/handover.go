package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["handover"] = handover }

// lostAfter is how long after the kill of the owner the worker is lost for good.
const lostAfter = 1500 * time.Millisecond

// handover: the node that owns the fleet is killed. When another one has taken over, one of ten
// workers is lost for good, with its machine. The tasks that last have to run again elsewhere.
func handover(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, strings.Split("aaaaaaaaaa", ""), route("watch", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	id := jobID(1)
	lasting := map[string]any{"spec": "last", "steps": []map[string]any{{"count": lastingTasks, "cpu": 2600, "memMb": 4000, "estimatedMs": 1000, "longRunning": true}}}
	if err := s.submit("watch", id, lasting); err != nil {
		return nil, err
	}
	first := id + ".0.0.0"
	if !await(10*time.Second, func() bool { return s.runnerOf(first) != nil }) {
		return nil, fmt.Errorf("the lasting task did not start")
	}
	time.Sleep(4 * time.Second)
	calmSince := time.Now()
	if trouble {
		owner := s.owner()
		if owner == nil {
			return nil, fmt.Errorf("no node owns the fleet")
		}
		rec.add("node", owner.name, "owns the fleet and is killed")
		_ = owner.cmd.Process.Signal(syscall.SIGKILL)
		time.Sleep(lostAfter)
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
	time.Sleep(20 * time.Second)
	found := &finding{}
	checkLasting(rec, id, calmSince, found)
	return found, nil
}

// owner returns the node that the row of the owner names.
func (s *site) owner() *node {
	s.st.mu.Lock()
	defer s.st.mu.Unlock()
	for k, r := range s.st.rows {
		var row struct {
			Holder string `json:"h"`
		}
		if k.Table != "tm_owner" || k.Key != "owner" || json.Unmarshal(r.Value, &row) != nil {
			continue
		}
		for _, n := range s.nodes {
			if n.name == row.Holder {
				return n
			}
		}
	}
	return nil
}
