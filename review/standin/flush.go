package main

import (
	"fmt"
	"time"
)

func init() { cases["flush"] = playFlush }

// playFlush: wide jobs are spread over all workers. One worker crashes, so that all jobs
// change at once, and what is to be stored outgrows a call to the store.
func playFlush(rec *record, trouble bool) (bool, error) {
	const (
		jobs    = 20
		workers = 21
		count   = 600
		apart   = 32
		took    = 100 * time.Second
		// downFor is the length of `srv_crash` in the site file.
		downFor = 4500 * time.Millisecond
	)
	s, err := newSite(rec, 3, workers, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(task string) time.Duration {
		if task[:8] == "01234567" {
			return time.Second
		}
		return took
	}
	began := time.Now()
	for i := range jobs {
		j := jobSpec{Spec: "imaging", Steps: []step{{Count: count, CPU: 30, Mem: 50, Estimate: took.Milliseconds(), Apart: apart, Checkpoint: true}}}
		if err := s.submit(fmt.Sprintf("5c0e7a21d94b%04x", i), j); err != nil {
			return false, err
		}
	}
	for f.startCount() < jobs*count {
		if time.Since(began) > 70*time.Second {
			return false, fmt.Errorf("%d starts in 70 s", f.startCount())
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.add("%d tasks of %d jobs run", f.startCount(), jobs)
	time.Sleep(3 * time.Second)
	if trouble {
		f.crash(3)
		time.Sleep(downFor)
		f.restart(3)
	}
	// The tasks take longer than the script, so that only a later job has to end.
	const finish = 14 * time.Second
	late := "0123456789abcdef"
	if err := s.submit(late, jobSpec{Spec: "one scan", Steps: []step{{Count: 1, CPU: 1000, Mem: 500, Estimate: 1000}}}); err != nil {
		return false, err
	}
	rec.add("a job of one task is handed in and accepted")
	time.Sleep(finish + 3*time.Second)
	state := s.jobState(late)
	f.mu.Lock()
	runs := 0
	for _, w := range f.workers {
		runs += len(w.runs)
	}
	f.mu.Unlock()
	rec.add("17 s later it is shown as %q and its task was started %d times; %d of %d other tasks run; the store refused %d calls", state, f.tasksOf(late), runs, jobs*count, s.store.refused())
	return state != "completed" && f.tasksOf(late) == 0, nil
}
