package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["upkeep"] = upkeep }

const (
	waveBound = 1
	// lateBy is within the 2 to 12 s after which a late order is carried out.
	lateBy = 8500 * time.Millisecond
)

// upkeep: four machines are due for upkeep, one at a time. The first order gets no answer and is
// carried out late; the owner that gave it is killed meanwhile.
func upkeep(rec *record, root string, trouble bool) (*finding, error) {
	s, err := newSite(rec, root, 3, []string{"a", "a", "a", "a", "a", "a", "a", "a"}, route("scan", false))
	defer s.close()
	if err != nil {
		return nil, err
	}
	found := &finding{}
	s.cloud.begun = func(machine, holder string, token int64, others int) {
		if others >= waveBound {
			found.add("LIMIT: the upkeep of %s, by an order of %s with fence number %d, begins while %d others of its wave are down, and %d may be", machine, holder, token, others, waveBound)
		}
	}
	machines := []string{"m-01", "m-02", "m-03", "m-04"}
	s.cloud.waves[1] = map[string]bool{}
	for _, m := range machines {
		s.cloud.waves[1][m] = true
	}
	if trouble {
		s.cloud.late = lateBy
	}
	s.st.put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 40, "upperBound": waveBound})
	rec.add("wave 1 of", machines, "at most", waveBound, "at once")
	if trouble {
		select {
		case <-s.cloud.lateOrder:
		case <-time.After(10 * time.Second):
			return nil, fmt.Errorf("no order for an upkeep came")
		}
		time.Sleep(300 * time.Millisecond)
		owner := s.owner()
		if owner == nil {
			return nil, fmt.Errorf("no node owns the fleet")
		}
		rec.add("node", owner.name, "owns the fleet and is killed")
		_ = owner.cmd.Process.Signal(syscall.SIGKILL)
	}
	// The usual work goes on. Its data lies in the rack of m-01.
	job := map[string]any{"spec": "ms=6000", "steps": []map[string]any{{"count": 1, "cpu": 2000, "memMb": 1000, "estimatedMs": 6000, "dataRack": "r1-1"}}}
	for i := range 24 {
		time.Sleep(500 * time.Millisecond)
		for k := range s.nodes {
			if status, _ := s.call(s.nodes[(i+k)%len(s.nodes)], http.MethodPost, "/scan/"+jobID(10+i), job); status == http.StatusOK {
				break
			}
		}
	}
	time.Sleep(6 * time.Second)
	return found, nil
}
