package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// start and end are what workers have seen of a run.
type start struct {
	at           time.Time
	task         string
	run          int
	worker, kind string
}

type end struct {
	at          time.Time
	task        string
	run         int
	worker, how string
	atWork      bool
}

// record is what callers, workers and the platform have seen. It is written to record.txt.
type record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	starts []start
	ends   []end
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

func (r *record) add(what ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(what...)
}

func (r *record) line(what ...any) {
	text := strings.TrimSuffix(fmt.Sprintln(what...), "\n")
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), text)
}

func (r *record) start(s start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
	r.line("run", s.task, "run", s.run, "starts on", s.worker, "of kind", s.kind)
}

func (r *record) end(e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, e)
	r.line("run", e.task, "run", e.run, "ends on", e.worker, "how", e.how, "at work", e.atWork)
}

// startsOf returns the starts of the tasks whose name begins so.
func (r *record) startsOf(prefix string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, prefix) {
			found = append(found, s)
		}
	}
	return found
}

// gap is a time in which a task did not run, after it had run.
type gap struct{ from, to time.Time }

// gaps returns the gaps between the runs of a task, the last one up to now.
func (r *record) gaps(task string) []gap {
	starts, ends := r.startsOf(task), r.endsOf(task)
	var found []gap
	for _, e := range ends {
		if e.task != task {
			continue
		}
		g := gap{from: e.at, to: time.Now()}
		for _, s := range starts {
			if s.task == task && s.at.After(e.at) && s.at.Before(g.to) {
				g.to = s.at
			}
		}
		found = append(found, g)
	}
	return found
}

func (r *record) endsOf(prefix string) []end {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []end
	for _, e := range r.ends {
		if strings.HasPrefix(e.task, prefix) {
			found = append(found, e)
		}
	}
	return found
}
