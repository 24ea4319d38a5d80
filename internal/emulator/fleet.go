package emulator

import (
	"sync"
	"time"

	"turmericmoor/core/tmjob"
)

// Fleet is the endpoints of an installation, what callers asked for, and the judge.
// Its mutex guards all of that: methods of Fleet and Endpoint are called with it held.
type Fleet struct {
	sync.Mutex
	// TaskTime returns the run time of a task, the same for every run.
	TaskTime func(tmjob.TaskID) time.Duration
	// CancelBound is after what time from its confirmation a cancellation must have
	// taken effect, ZoneBound the same for a zone that was taken out.
	CancelBound, ZoneBound time.Duration
	// IgnoreTokens and LongLeases are negative controls.
	IgnoreTokens, LongLeases bool

	began     time.Time
	endpoints map[string]*Endpoint
	jobs      map[string]*tmjob.Job
	cancelled map[string]time.Time
	limits    map[string]int64
	zonesOut  map[string]time.Time
	judge     judge
}

// NewFleet returns a fleet without endpoints.
func NewFleet() *Fleet {
	return &Fleet{
		TaskTime: taskTime, began: time.Now(),
		endpoints: map[string]*Endpoint{}, jobs: map[string]*tmjob.Job{}, cancelled: map[string]time.Time{},
		limits: map[string]int64{}, zonesOut: map[string]time.Time{}, judge: newJudge(),
	}
}

// longTask is the run time of the longest tasks.
const longTask = 8 * time.Second

// taskTime gives some tasks a time that outlasts the lease of an endpoint that is cut
// off, and short ones to most.
func taskTime(t tmjob.TaskID) time.Duration {
	var h uint64
	for _, c := range t.String() {
		h = h*131 + uint64(c)
	}
	if h%12 == 0 {
		return longTask
	}
	return 200*time.Millisecond + time.Duration(h%1300)*time.Millisecond
}

// Endpoint returns an endpoint, or nil.
func (f *Fleet) Endpoint(id string) *Endpoint { return f.endpoints[id] }

// Any returns some endpoint.
func (f *Fleet) Any() *Endpoint {
	for _, e := range f.endpoints {
		return e
	}
	return nil
}

// Submitted takes in that a caller is about to hand in a job.
func (f *Fleet) Submitted(j *tmjob.Job) { f.jobs[j.ID] = j }

// Cancelled takes in that a cancellation was just confirmed.
func (f *Fleet) Cancelled(id string) { f.cancelled[id] = time.Now() }

// Refused takes in that no answer about a job left open whether it runs: all said
// that it does not.
func (f *Fleet) Refused(id string) { delete(f.jobs, id) }

// SetLimit sets the processor share that a team may have running, in thousandths of
// a core.
func (f *Fleet) SetLimit(team string, cpu int64) { f.limits[team] = cpu }

// SetZoneOut takes in that the operator has just taken a zone out, or back.
func (f *Fleet) SetZoneOut(zone string, out bool) {
	delete(f.zonesOut, zone)
	if out {
		f.zonesOut[zone] = time.Now()
	}
}

func (f *Fleet) step(t tmjob.TaskID) *tmjob.Step {
	j := f.jobs[t.Job]
	if j == nil || t.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[t.Step]
}
