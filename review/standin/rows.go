package main

import (
	"fmt"
	"time"
)

func init() {
	cases["row"] = func(rec *record, trouble bool) (bool, error) { return playRow(rec, trouble, 8, 4500*time.Millisecond) }
	// No disruption at all, but more occurrences.
	cases["row-plain"] = func(rec *record, _ bool) (bool, error) { return playRow(rec, false, 20, 0) }
}

// playRow: a timed job comes due again and again while the store is down. Its occurrences
// then run side by side, and the row of its progress outgrows rowBytes.
func playRow(rec *record, trouble bool, repeats int, outage time.Duration) (bool, error) {
	const (
		id       = "5c0e7a21d94b36f8"
		count    = 150
		interval = 500 * time.Millisecond
		took     = time.Second
	)
	s, err := newSite(rec, 3, 4, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.fleet.duration = func(string) time.Duration { return took }
	begin := time.Now().Add(time.Second)
	j := jobSpec{
		Spec: "step scans", Steps: []step{{Count: count, CPU: 100, Mem: 100, Estimate: took.Milliseconds()}},
		Repeats: repeats, StartAt: begin.UnixMilli(), Interval: interval.Milliseconds(),
	}
	if err := s.submit(id, j); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		rec.add("the store answers 503 for %v", outage)
		s.store.setDown(true)
		time.Sleep(outage)
		s.store.setDown(false)
		rec.add("the store is back")
	} else {
		time.Sleep(time.Duration(repeats) * interval)
	}
	broken, err := stuck(s, []string{id})
	if err != nil {
		return false, err
	}
	rec.add("%d starts of %d tasks", s.fleet.startCount(), repeats*count)
	if s.fleet.startCount() == 0 {
		return false, fmt.Errorf("nothing was started")
	}
	return broken, nil
}
