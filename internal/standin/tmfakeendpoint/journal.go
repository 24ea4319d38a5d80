package tmfakeendpoint

import (
	"net/http"
	"slices"
	"strconv"

	"turmericmoor/core/tmclock"
)

// memoryPerCore is what a task uses for each core, in MB: workers have 64
// cores and 128 GB.
const memoryPerCore = 2048

// Event is a row of the journal.
type Event struct {
	AtMs int64 `json:"at_ms"`
	// Kind is start, end, stop or refuse for tasks, lease, release or
	// lease_end for leases, and drain, undrain or reboot for the endpoint.
	Kind      string `json:"event"`
	Endpoint  string `json:"endpoint,omitempty"`
	Zone      string `json:"zone,omitempty"`
	Attempt   string `json:"attempt,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Team      string `json:"team,omitempty"`
	Queue     string `json:"queue,omitempty"`
	Lease     string `json:"lease,omitempty"`
	Holder    string `json:"holder,omitempty"`
	Slots     int    `json:"slots,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// Running is the number of running tasks after the event.
	Running int `json:"running"`
}

// sample is what the tasks used since a point in time.
type sample struct {
	at    tmclock.Millis
	tasks []taskUsage
}

type taskUsage struct {
	Attempt  string  `json:"attempt"`
	Team     string  `json:"team"`
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
}

// Journal returns the events so far. The caller owns the slice.
func (e *Endpoint) Journal() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// wall returns the time of an event. Endpoints of several processes read the
// same wall clock, so that an end and the start that it made possible elsewhere
// are never in the wrong order. The sum of a whole ms of the epoch and a whole
// ms of a monotonic clock is off by up to 1 ms in each process.
func (e *Endpoint) wall() int64 {
	if _, real := e.clock.(*tmclock.System); real {
		return int64(tmclock.Wall())
	}
	return int64(e.epoch + e.clock.Now())
}

func (e *Endpoint) record(ev Event) {
	ev.AtMs = e.wall()
	ev.Endpoint = e.opts.Name
	ev.Zone = e.opts.Zone
	ev.Running = len(e.tasks)
	e.journal = append(e.journal, ev)
}

func (e *Endpoint) recordTask(kind string, t *task, reason string) {
	ev := Event{Kind: kind, Attempt: t.attempt, RequestID: t.requestID, Team: t.team, Queue: t.queue, Reason: reason}
	if t.lease != nil {
		ev.Lease = t.lease.id
		ev.Holder = t.lease.holder
	}
	e.record(ev)
}

// serveJournal answers with the events after the first `after` ones. Faults
// don't affect it.
func (e *Endpoint) serveJournal(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	events := e.Journal()
	after = min(max(after, 0), len(events))
	ok(map[string]any{"events": events[after:], "next": len(events)}).send(w)
}

// takeSample notes the usage from now on, and forgets the samples before the
// one that the lag shows.
func (e *Endpoint) takeSample() {
	now := e.clock.Now()
	tasks := make([]taskUsage, 0, len(e.tasks))
	for t := range e.tasks {
		tasks = append(tasks, taskUsage{Attempt: t.attempt, Team: t.team, Cores: t.cores, MemoryMB: t.cores * memoryPerCore})
	}
	shown := e.shown(now)
	e.samples = append(e.samples[max(shown, 0):], sample{at: now, tasks: tasks})
}

// shown returns the index of the newest sample that is as old as the lag, or
// -1.
func (e *Endpoint) shown(now tmclock.Millis) int {
	for i := len(e.samples) - 1; i >= 0; i-- {
		if now.Sub(e.samples[i].at) >= e.opts.UsageLag {
			return i
		}
	}
	return -1
}

func (e *Endpoint) usage(*http.Request, []byte) answer {
	tasks := []taskUsage{}
	if i := e.shown(e.clock.Now()); i >= 0 {
		tasks = e.samples[i].tasks
	}
	return ok(map[string]any{"as_of_ms_ago": int64(e.opts.UsageLag), "tasks": tasks})
}
