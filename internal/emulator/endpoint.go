package emulator

import (
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmjob"
)

const (
	// maxHold bounds every lease, stopTime is how long a stop takes, and failTime
	// after what time a run fails at an endpoint on which all fail.
	maxHold  = 10 * time.Second
	stopTime = 200 * time.Millisecond
	failTime = 150 * time.Millisecond
)

type taskRun struct {
	task tmjob.TaskID
	run  int
}

type running struct {
	taskRun
	size  tmjob.Resources
	began time.Time
	ends  time.Time
	// stopping runs end at ends as stopped, failing ones as failed.
	stopping, failing bool
}

// Endpoint is one process that runs tasks under leases. The mutex of its fleet guards it.
type Endpoint struct {
	fleet    *Fleet
	id, zone string
	born     int64
	started  time.Time
	capacity tmjob.Resources
	token    int64
	lease    time.Time
	runs     map[taskRun]*running
	ends     []tmcontrol.EndedRun
	number   int64
	// lapsed is the highest end that was listed when the lease last lapsed. Such ends
	// count as not taken note of, whoever acknowledges them later: the owner may have
	// started the task again when the lease was over.
	lapsed int64
	// barred are runs that were stopped before they began.
	barred map[tmjob.TaskID]int
	down   bool
	// failing makes runs fail soon after their start.
	failing bool
	// rate is that of its clock.
	rate float64
	wake chan struct{}
}

func (r *running) percent() int {
	return int(100 * time.Since(r.began) / max(r.ends.Sub(r.began), 1))
}

// AddEndpoint adds an endpoint whose clock runs at a rate of that of this machine.
func (f *Fleet) AddEndpoint(id, zone string, capacity tmjob.Resources, rate float64) *Endpoint {
	e := &Endpoint{
		fleet: f, id: id, zone: zone, started: time.Now(), born: time.Now().UnixMilli(), capacity: capacity,
		runs: map[taskRun]*running{}, barred: map[tmjob.TaskID]int{}, wake: make(chan struct{}), rate: rate,
	}
	f.endpoints[id] = e
	return e
}

// Clock returns the endpoint's clock in milliseconds.
func (e *Endpoint) Clock() int64 {
	return int64(float64(time.Since(e.started).Milliseconds()) * e.rate)
}

// until turns a time on the endpoint's clock into ours.
func (e *Endpoint) until(ms int64) time.Time {
	t := e.started.Add(time.Duration(float64(ms) / e.rate * float64(time.Millisecond)))
	if limit := time.Now().Add(maxHold); t.After(limit) {
		return limit
	}
	return t
}

// advance ends what is due.
func (e *Endpoint) advance() {
	now := time.Now()
	for key, r := range e.runs {
		switch {
		case !e.lease.IsZero() && now.After(e.lease) && !r.ends.Before(e.lease):
			e.end(key, tmcontrol.EndLapsed)
		case !now.Before(r.ends) && r.stopping:
			e.end(key, tmcontrol.EndStopped)
		case !now.Before(r.ends) && r.failing:
			e.end(key, tmcontrol.EndFailed)
		case !now.Before(r.ends):
			e.end(key, tmcontrol.EndDone)
		}
	}
	if !e.lease.IsZero() && now.After(e.lease) {
		e.lapsed = e.number
	}
}

func (e *Endpoint) end(key taskRun, how tmcontrol.EndReason) {
	delete(e.runs, key)
	e.number++
	e.ends = append(e.ends, tmcontrol.EndedRun{Number: e.number, Task: key.task, Run: key.run, Reason: how})
	e.barred[key.task] = max(e.barred[key.task], key.run)
	e.fleet.judge.ended(e, key, how)
	close(e.wake)
	e.wake = make(chan struct{})
}

// Crash ends everything, without a word to anybody.
func (e *Endpoint) Crash() {
	for key := range e.runs {
		delete(e.runs, key)
		e.fleet.judge.gone(e, key)
	}
	e.down = true
}

// Restart starts the process again under its id. It knows nothing of before.
func (e *Endpoint) Restart() {
	e.down, e.started = false, time.Now()
	e.born = e.started.UnixMilli()
	e.token, e.number, e.lapsed, e.lease = 0, 0, 0, time.Time{}
	e.ends, e.barred = nil, map[tmjob.TaskID]int{}
}

func (e *Endpoint) fence(token int64) bool {
	if token < e.token && !e.fleet.IgnoreTokens {
		return false
	}
	e.token = max(e.token, token)
	return true
}

// Start carries out a start order. late says that it was held back on its way.
func (e *Endpoint) Start(o tmcontrol.StartOrder, late bool) tmcontrol.Answer {
	for _, other := range e.fleet.endpoints {
		if !other.down {
			other.advance()
		}
	}
	key := taskRun{o.Ref.Task, o.Ref.Run}
	switch {
	case !e.fence(o.Token):
		return tmcontrol.Fenced
	case e.runs[key] != nil:
		return tmcontrol.Accepted
	case e.barred[key.task] >= key.run:
		return tmcontrol.Superseded
	case o.Until < e.Clock():
		return tmcontrol.TooLate
	}
	e.extend(o.Until)
	step := e.fleet.step(key.task)
	if step == nil {
		e.fleet.Fail("%s starts and nobody submitted it", key.task)
		return tmcontrol.Refused
	}
	took := e.fleet.TaskTime(key.task)
	if e.failing {
		took = failTime
	}
	e.runs[key] = &running{taskRun: key, size: step.Size, began: time.Now(), ends: time.Now().Add(took), failing: e.failing}
	e.fleet.started(e, key, step, late)
	return tmcontrol.Accepted
}

func (e *Endpoint) extend(until int64) {
	if t := e.until(until); t.After(e.lease) {
		e.lease = t
	}
	if e.fleet.LongLeases {
		e.lease = time.Now().Add(maxHold)
	}
}

// Stop carries out a stop order.
func (e *Endpoint) Stop(o tmcontrol.StopOrder) tmcontrol.Answer {
	e.advance()
	if !e.fence(o.Token) {
		return tmcontrol.Fenced
	}
	key := taskRun{o.Ref.Task, o.Ref.Run}
	e.barred[key.task] = max(e.barred[key.task], key.run)
	if r := e.runs[key]; r != nil && !r.stopping {
		r.stopping, r.ends = true, time.Now().Add(stopTime)
	}
	return tmcontrol.Accepted
}

// Look answers a hold. It reports false if the fencing token is too low.
func (e *Endpoint) Look(h tmcontrol.HoldRequest) (tmcontrol.HoldResponse, bool) {
	e.advance()
	if !e.fence(h.Token) {
		return tmcontrol.HoldResponse{}, false
	}
	if h.Until != 0 {
		e.extend(h.Until)
	}
	e.forget(h.Acked)
	l := tmcontrol.HoldResponse{Clock: e.Clock(), StartedAt: e.born}
	for _, r := range e.runs {
		l.Active = append(l.Active, tmcontrol.ActiveRun{Task: r.task, Run: r.run, Percent: r.percent()})
	}
	l.Ended = append(l.Ended, e.ends...)
	return l, true
}

// forget drops the ends up to a number: they are acknowledged.
func (e *Endpoint) forget(seen int64) {
	kept := e.ends[:0:0]
	for _, end := range e.ends {
		if end.Number > seen {
			kept = append(kept, end)
		} else if end.Number > e.lapsed {
			e.fleet.judge.noted(end)
		}
	}
	e.ends = kept
}

// NextEnd returns when something ends next, at most limit.
func (e *Endpoint) NextEnd(limit time.Time) time.Time {
	for _, r := range e.runs {
		if r.ends.Before(limit) {
			limit = r.ends
		}
	}
	if soonest := time.Now().Add(time.Millisecond); limit.Before(soonest) {
		return soonest
	}
	return limit
}

// Wake returns a channel that is closed when something ends here.
func (e *Endpoint) Wake() <-chan struct{} { return e.wake }

// ID returns the identifier of the endpoint.
func (e *Endpoint) ID() string { return e.id }

// Born returns the start of the present lifetime in milliseconds since the Unix epoch.
func (e *Endpoint) Born() int64 { return e.born }

// Down reports whether the process is gone.
func (e *Endpoint) Down() bool { return e.down }

// Zone returns the availability zone.
func (e *Endpoint) Zone() string { return e.zone }

// Capacity returns what there is to run tasks.
func (e *Endpoint) Capacity() tmjob.Resources { return e.capacity }

// SetFailing makes all runs that start from now on fail, or end as they should.
func (e *Endpoint) SetFailing(failing bool) { e.failing = failing }
