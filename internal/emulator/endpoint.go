package emulator

import (
	"maps"
	"slices"
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmjob"
)

const (
	// maxLeaseDuration is the upper limit of every lease, stopDuration is how long a run
	// takes to stop, and failDelay is the run time of a run on a failing endpoint.
	maxLeaseDuration = 10 * time.Second
	stopDuration     = 200 * time.Millisecond
	failDelay        = 150 * time.Millisecond
	// crashDelay is the time from the start of a task that crashes endpoints to the
	// crash, restartDelay the time from that crash to the restart.
	crashDelay   = 10 * time.Millisecond
	restartDelay = 3 * time.Second
)

type taskRun struct {
	task tmjob.TaskID
	run  int
}

type activeRun struct {
	taskRun
	size      tmjob.Resources
	startedAt time.Time
	endsAt    time.Time
	// At endsAt a stopping run ends as stopped, a failing one as failed.
	stopping, failing bool
	// startedFrom is the checkpoint that the start order carried.
	startedFrom string
	// waiting is set while a member of a gang waits for the others, until endsAt.
	waiting bool
}

// Endpoint emulates a process that runs tasks under leases. It is guarded by the mutex
// of its fleet.
type Endpoint struct {
	fleet         *Fleet
	id, zone      string
	startedAt     int64
	clockStart    time.Time
	capacity      tmjob.Resources
	token         int64
	leaseExpiry   time.Time
	runs          map[taskRun]*activeRun
	endedRuns     []tmcontrol.EndedRun
	lastEndNumber int64
	// lastEndAtExpiry is the number of the last end that was listed when the lease last
	// expired. Later acknowledgements of ends up to it are not recorded by the checker:
	// the owner may have started the task again once the lease had expired.
	lastEndAtExpiry int64
	// closedRuns holds, for each task, the highest run that ended or was stopped, also
	// before it started. Starts of that run or an earlier one are superseded.
	closedRuns map[tmjob.TaskID]int
	down       bool
	// calledAt is when this lifetime first answered a hold.
	calledAt time.Time
	// failing makes runs fail failDelay after their start.
	failing bool
	// clockRate is the rate of the endpoint's clock relative to the host clock.
	clockRate   float64
	runsChanged chan struct{}
}

func (r *activeRun) percent() int {
	return int(100 * time.Since(r.startedAt) / max(r.endsAt.Sub(r.startedAt), 1))
}

// AddEndpoint adds an endpoint whose clock runs at the given rate relative to the host
// clock.
func (f *Fleet) AddEndpoint(id, zone string, capacity tmjob.Resources, clockRate float64) *Endpoint {
	e := &Endpoint{
		fleet: f, id: id, zone: zone, clockStart: time.Now(), startedAt: time.Now().UnixMilli(), capacity: capacity,
		runs: map[taskRun]*activeRun{}, closedRuns: map[tmjob.TaskID]int{}, runsChanged: make(chan struct{}), clockRate: clockRate,
	}
	f.endpoints[id] = e
	return e
}

// Clock returns the time on the endpoint's clock in milliseconds since its start.
func (e *Endpoint) Clock() int64 {
	return int64(float64(time.Since(e.clockStart).Milliseconds()) * e.clockRate)
}

// hostTime converts a time on the endpoint's clock to host time, at most
// maxLeaseDuration from now.
func (e *Endpoint) hostTime(ms int64) time.Time {
	t := e.clockStart.Add(time.Duration(float64(ms) / e.clockRate * float64(time.Millisecond)))
	if limit := time.Now().Add(maxLeaseDuration); t.After(limit) {
		return limit
	}
	return t
}

// advance ends the runs that are due: finished, stopped, failed, or past the lease.
func (e *Endpoint) advance() {
	now := time.Now()
	for key, r := range e.runs {
		switch {
		case !e.leaseExpiry.IsZero() && now.After(e.leaseExpiry) && !r.endsAt.Before(e.leaseExpiry):
			e.endRun(key, tmcontrol.EndLapsed)
		case !now.Before(r.endsAt) && r.stopping:
			e.endRun(key, tmcontrol.EndStopped)
		case !now.Before(r.endsAt) && r.failing:
			e.endRun(key, tmcontrol.EndFailed)
		case !now.Before(r.endsAt) && r.waiting:
			e.endRun(key, tmcontrol.EndGangIncomplete)
		case !now.Before(r.endsAt):
			e.endRun(key, tmcontrol.EndDone)
		}
	}
	if !e.leaseExpiry.IsZero() && now.After(e.leaseExpiry) {
		e.lastEndAtExpiry = e.lastEndNumber
	}
}

func (e *Endpoint) endRun(key taskRun, reason tmcontrol.EndReason) {
	end := tmcontrol.EndedRun{Task: key.task, Run: key.run, Reason: reason}
	if reason == tmcontrol.EndStopped {
		end.Checkpoint = e.checkpoint(e.runs[key])
	}
	delete(e.runs, key)
	e.lastEndNumber++
	end.Number = e.lastEndNumber
	e.endedRuns = append(e.endedRuns, end)
	e.closedRuns[key.task] = max(e.closedRuns[key.task], key.run)
	e.fleet.recordEnd(e, key, reason)
	e.notify()
	switch reason {
	case tmcontrol.EndFailed, tmcontrol.EndStopped, tmcontrol.EndLapsed:
		if e.fleet.isGang(key.task) {
			e.fleet.breakGang(key)
		}
	case tmcontrol.EndDone, tmcontrol.EndGangBroken, tmcontrol.EndGangIncomplete:
	}
}

// notify wakes the holds that wait for the end of a run.
func (e *Endpoint) notify() {
	close(e.runsChanged)
	e.runsChanged = make(chan struct{})
}

// Crash ends the process and all its runs without reporting their ends. Its connections end with it.
func (e *Endpoint) Crash() {
	e.fleet.checker.recordLosses(e)
	lost := slices.Collect(maps.Keys(e.runs))
	clear(e.runs)
	e.down = true
	e.notify()
	for _, key := range lost {
		if e.fleet.isGang(key.task) {
			e.fleet.awaitLostMember(key)
		}
	}
}

// crashUnder crashes the process soon because of a run that has just started, and starts
// it again later.
func (e *Endpoint) crashUnder(key taskRun) {
	startedAt := e.startedAt
	time.AfterFunc(crashDelay, func() {
		e.fleet.Lock()
		defer e.fleet.Unlock()
		if e.down || e.startedAt != startedAt || e.runs[key] == nil {
			return
		}
		e.fleet.checker.crashes[e.fleet.representative(key.task)]++
		e.fleet.checker.lastCrash = time.Now()
		e.Crash()
		time.AfterFunc(restartDelay, func() {
			e.fleet.Lock()
			defer e.fleet.Unlock()
			e.Restart()
		})
	})
}

// Restart starts the process again under the same ID, without any of its earlier state,
// unless it is up.
func (e *Endpoint) Restart() {
	if !e.down {
		return
	}
	e.down, e.clockStart, e.calledAt = false, time.Now(), time.Time{}
	e.startedAt = e.clockStart.UnixMilli()
	e.token, e.lastEndNumber, e.lastEndAtExpiry, e.leaseExpiry = 0, 0, 0, time.Time{}
	e.endedRuns, e.closedRuns = nil, map[tmjob.TaskID]int{}
	e.fleet.Restarted(e.id)
}

func (e *Endpoint) fence(token int64) bool {
	if token < e.token && !e.fleet.IgnoreTokens {
		return false
	}
	e.token = max(e.token, token)
	return true
}

// Start processes a start order. late reports whether the order was delayed in transit.
func (e *Endpoint) Start(o tmcontrol.StartOrder, late bool) tmcontrol.Answer {
	for _, other := range e.fleet.endpoints {
		if !other.down {
			other.advance()
		}
	}
	key := taskRun{o.Ref.Task, o.Ref.Run}
	switch {
	case !e.fence(o.Ref.Token):
		return tmcontrol.Fenced
	case e.runs[key] != nil:
		return tmcontrol.Accepted
	case e.closedRuns[key.task] >= key.run:
		return tmcontrol.Superseded
	case o.Until < e.Clock():
		return tmcontrol.TooLate
	}
	e.extend(o.Until)
	if p := e.fleet.policy; p != nil && !p.accepts(e, key.task, o.Ticket, late) {
		return tmcontrol.BadTicket
	}
	step := e.fleet.step(key.task)
	if step == nil {
		e.fleet.ReportViolation("%s starts but its job was never submitted", key.task)
		return tmcontrol.Refused
	}
	duration := e.fleet.TaskDuration(key.task)
	if e.failing {
		duration = failDelay
	}
	e.runs[key] = &activeRun{taskRun: key, size: step.Size, startedAt: time.Now(), endsAt: time.Now().Add(duration), failing: e.failing, startedFrom: o.Checkpoint}
	if step.Gang {
		e.fleet.joinGang(e, key)
	}
	e.fleet.recordStart(e, key, step, late)
	e.fleet.checkCheckpoint(key, o.Checkpoint)
	e.notify()
	if e.fleet.CrashesEndpoint(key.task) {
		e.crashUnder(key)
	}
	return tmcontrol.Accepted
}

func (e *Endpoint) extend(until int64) {
	if t := e.hostTime(until); t.After(e.leaseExpiry) {
		e.leaseExpiry = t
	}
	if e.fleet.LongLeases {
		e.leaseExpiry = time.Now().Add(maxLeaseDuration)
	}
}

// Stop processes a stop order.
func (e *Endpoint) Stop(o tmcontrol.StopOrder) tmcontrol.Answer {
	e.advance()
	if !e.fence(o.Ref.Token) {
		return tmcontrol.Fenced
	}
	key := taskRun{o.Ref.Task, o.Ref.Run}
	e.closedRuns[key.task] = max(e.closedRuns[key.task], key.run)
	if r := e.runs[key]; r != nil && !r.stopping {
		r.stopping, r.endsAt = true, time.Now().Add(stopDuration)
	}
	return tmcontrol.Accepted
}

// Hold answers a hold request. It reports false if the fencing token is outdated.
func (e *Endpoint) Hold(h tmcontrol.HoldRequest) (tmcontrol.HoldResponse, bool) {
	e.advance()
	if !e.fence(h.Token) {
		return tmcontrol.HoldResponse{}, false
	}
	if e.calledAt.IsZero() {
		e.calledAt = time.Now()
	}
	if h.Until != 0 {
		e.extend(h.Until)
	}
	e.dropAcknowledged(h.Acked)
	l := tmcontrol.HoldResponse{Clock: e.Clock(), StartedAt: e.startedAt}
	for _, r := range e.runs {
		l.Active = append(l.Active, tmcontrol.ActiveRun{Task: r.task, Run: r.run, Checkpoint: e.checkpoint(r), Percent: r.percent()})
	}
	listed := min(len(e.endedRuns), e.fleet.MaxListedEnds)
	l.Ended = append(l.Ended, e.endedRuns[:listed]...)
	l.Truncated = listed == e.fleet.MaxListedEnds
	return l, true
}

// dropAcknowledged removes the ends with numbers up to acked.
func (e *Endpoint) dropAcknowledged(acked int64) {
	kept := e.endedRuns[:0:0]
	for _, end := range e.endedRuns {
		if end.Number > acked {
			kept = append(kept, end)
		} else if end.Number > e.lastEndAtExpiry {
			e.fleet.recordAcknowledgement(end)
		}
	}
	e.endedRuns = kept
}

// NextEnd returns when the next run ends, at least 1 ms from now and otherwise at most
// limit.
func (e *Endpoint) NextEnd(limit time.Time) time.Time {
	for _, r := range e.runs {
		if r.endsAt.Before(limit) {
			limit = r.endsAt
		}
	}
	if earliest := time.Now().Add(time.Millisecond); limit.Before(earliest) {
		return earliest
	}
	return limit
}

// Wake returns a channel that is closed when the next run of the endpoint starts or ends, or when it
// crashes.
func (e *Endpoint) Wake() <-chan struct{} { return e.runsChanged }

// ID returns the ID of the endpoint.
func (e *Endpoint) ID() string { return e.id }

// StartedAt returns the start of the current lifetime in milliseconds since the Unix
// epoch.
func (e *Endpoint) StartedAt() int64 { return e.startedAt }

// CalledAt returns when the current lifetime first answered a hold, or the zero time.
func (e *Endpoint) CalledAt() time.Time { return e.calledAt }

// Down reports whether the process has crashed and not been restarted.
func (e *Endpoint) Down() bool { return e.down }

// Zone returns the availability zone of the endpoint.
func (e *Endpoint) Zone() string { return e.zone }

// Capacity returns the resources available to tasks.
func (e *Endpoint) Capacity() tmjob.Resources { return e.capacity }

// SetCapacity changes the resources available to tasks.
func (e *Endpoint) SetCapacity(capacity tmjob.Resources) { e.capacity = capacity }

// SetFailing sets whether runs that start from now on fail.
func (e *Endpoint) SetFailing(failing bool) { e.failing = failing }
