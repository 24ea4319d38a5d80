package tmowner

import (
	"maps"
	"slices"
	"time"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmevent"
)

const (
	// statusInterval is the least time between two counts of the waiting jobs.
	statusInterval = 200 * time.Millisecond
	// maxStatusAge is how old the published status may be. An owner whose planner hangs for
	// longer does not renew its ownership, so that another node takes over.
	maxStatusAge = 3 * time.Second
	// maxBacklogAge is how old the published backlogs may be. They have to be told apart from
	// those of an owner whose planner is late, because jobs are refused because of them.
	maxBacklogAge = time.Second
	// backlogEndDelay is for how long the backlog of a queue must not be reported before its end
	// is logged. A wait near the bound from which it is reported would else log several lines a
	// second.
	backlogEndDelay = time.Second
)

// status is what an owner publishes with each renewal of its ownership. at is a time of the
// BootClock.
type status struct {
	at time.Time
	// waiting is the number of waiting jobs by queue, loaded is set once all stored jobs
	// are loaded.
	waiting map[string]int
	loaded  bool
	// backlogs holds the predicted waits of new jobs by queue.
	backlogs map[string]tmadmit.Backlog
}

// publishStatus counts the waiting jobs and predicts the waits of new ones, unless that was done
// lately. The caller holds mu.
func (o *Owner) publishStatus() *status {
	now := o.opts.BootClock()
	if last := o.published.Load(); last != nil && last.loaded == o.loaded && now.Sub(last.at) < statusInterval {
		return last
	}
	s := &status{at: now, waiting: o.ctl.Waiting(), loaded: o.loaded, backlogs: o.ctl.Backlogs(time.Now().UnixMilli())}
	o.published.Store(s)
	o.logBacklogs(s.backlogs, now)
	return s
}

// loggedBacklog is a backlog whose begin was logged, as it was last reported.
type loggedBacklog struct {
	at   time.Time
	wait float64
}

// logBacklogs logs the queues whose backlog is reported from now on, and those whose has not been
// reported for backlogEndDelay. The caller holds mu.
func (o *Owner) logBacklogs(reported map[string]tmadmit.Backlog, now time.Time) {
	for _, queue := range slices.Sorted(maps.Keys(reported)) {
		b := reported[queue]
		if _, known := o.loggedBacklogs[queue]; !known {
			o.emit(tmevent.BacklogBegins, "queue", queue, "wait_ms", int64(b.Wait), "work_core_ms", int64(b.Work), "cores", b.Drain, "shard", o.shard)
		}
		o.loggedBacklogs[queue] = loggedBacklog{at: now, wait: b.Wait}
	}
	for _, queue := range slices.Sorted(maps.Keys(o.loggedBacklogs)) {
		if last := o.loggedBacklogs[queue]; now.Sub(last.at) >= backlogEndDelay {
			delete(o.loggedBacklogs, queue)
			o.emit(tmevent.BacklogEnds, "queue", queue, "wait_ms", int64(last.wait), "shard", o.shard)
		}
	}
}

// Backlogs returns what a new job would have to wait for by queue, as far as that was predicted
// lately. It waits for nothing.
func (o *Owner) Backlogs() map[string]tmadmit.Backlog {
	s := o.published.Load()
	if s == nil || o.opts.BootClock().Sub(s.at) > maxBacklogAge {
		return nil
	}
	return s.backlogs
}

// Status returns the number of waiting jobs by queue, and whether all stored jobs are loaded.
// It waits for a pass of the planner only if the last one ended maxStatusAge ago.
func (o *Owner) Status() (map[string]int, bool) {
	s := o.published.Load()
	if s == nil || o.opts.BootClock().Sub(s.at) > maxStatusAge {
		o.mu.Lock()
		s = o.publishStatus()
		o.mu.Unlock()
	}
	return s.waiting, s.loaded
}
