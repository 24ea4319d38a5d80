package main

import "time"

// stuck reports whether a job, and others handed in later, wait for good: later than
// finish_s after the last call nothing of them runs for 3 s, though the workers are idle.
func stuck(s *site, ids []string) (bool, error) {
	const finish = 14 * time.Second
	const still = 3 * time.Second
	late := "0123456789abcdef"
	if err := s.submit(late, jobSpec{Spec: "one scan", Steps: []step{{Count: 1, CPU: 1000, Mem: 500, Estimate: 1000}}}); err != nil {
		return false, err
	}
	s.rec.add("a job of one task is handed in and accepted")
	time.Sleep(finish)
	f := s.fleet
	before := f.startCount()
	idleFrom := time.Now()
	for time.Since(idleFrom) < still {
		f.mu.Lock()
		runs := 0
		for _, w := range f.workers {
			runs += len(w.runs)
		}
		f.mu.Unlock()
		if runs > 0 {
			s.rec.add("%d runs are under way", runs)
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	idle := time.Since(idleFrom) >= still && f.startCount() == before
	lost := 0
	for _, id := range append([]string{late}, ids...) {
		state := s.jobState(id)
		s.rec.add("%v after the end of the traffic job %s is shown as %q", finish+still, id, state)
		if state != "completed" && idle {
			lost++
		}
	}
	s.rec.add("the workers ran nothing for %v: %v; the store refused %d calls", still, idle, s.store.refused())
	return lost > 0, nil
}

// startCount returns how often tasks were started.
func (f *fleet) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.tasks {
		n += t.starts
	}
	return n
}

// refused returns how many calls the store has refused as invalid.
func (s *store) refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// tasksOf returns how often the tasks of a job were started.
func (f *fleet) tasksOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, t := range f.tasks {
		if name[:len(job)] == job {
			n += t.starts
		}
	}
	return n
}
