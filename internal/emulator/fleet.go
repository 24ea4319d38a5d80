package emulator

import (
	"sync"
	"time"

	"turmericmoor/core/tmjob"
)

// Fleet holds the endpoints of an installation, the requests of callers, and the checker.
// Its mutex guards all of them: methods of Fleet and Endpoint are called with it held.
type Fleet struct {
	sync.Mutex
	// TaskDuration returns the run time of a task. It is the same for every run of it.
	TaskDuration func(tmjob.TaskID) time.Duration
	// CrashesEndpoint reports whether a task crashes each endpoint that starts it.
	CrashesEndpoint func(tmjob.TaskID) bool
	// CancelTimeout is how long after the confirmation of a cancellation tasks of the
	// job may still start, EvacuationTimeout how long they may start in a zone after it
	// was taken out of service.
	CancelTimeout, EvacuationTimeout time.Duration
	// MaxListedEnds is how many ended runs an endpoint lists at a time.
	MaxListedEnds int
	// IgnoreTokens and LongLeases are negative controls: endpoints accept outdated
	// fencing tokens, and every lease lasts maxLeaseDuration.
	IgnoreTokens, LongLeases bool
	// Restarted is called with the ID of an endpoint that has restarted.
	Restarted func(id string)

	began             time.Time
	endpoints         map[string]*Endpoint
	jobs              map[string]*tmjob.Job
	cancelled         map[string]time.Time
	limits            map[string]int64
	zonesOutOfService map[string]time.Time
	checker           checker
	policy            *Policy
}

// NewFleet returns a fleet without endpoints.
func NewFleet() *Fleet {
	return &Fleet{
		TaskDuration: taskDuration, MaxListedEnds: maxListedEnds, CrashesEndpoint: func(tmjob.TaskID) bool { return false }, Restarted: func(string) {}, began: time.Now(),
		endpoints: map[string]*Endpoint{}, jobs: map[string]*tmjob.Job{}, cancelled: map[string]time.Time{},
		limits: map[string]int64{}, zonesOutOfService: map[string]time.Time{}, checker: newChecker(),
	}
}

// maxListedEnds is the usual value of MaxListedEnds.
const maxListedEnds = 500

// longTaskDuration is the run time of the longest tasks, one in twelve.
const longTaskDuration = 8 * time.Second

// taskDuration derives the run time from a hash of the task ID. Most tasks are short,
// but some outlast the lease of a partitioned endpoint.
func taskDuration(t tmjob.TaskID) time.Duration {
	var h uint64
	for _, c := range t.String() {
		h = h*131 + uint64(c)
	}
	if h%12 == 0 {
		return longTaskDuration
	}
	return 200*time.Millisecond + time.Duration(h%1300)*time.Millisecond
}

// Endpoint returns the endpoint with the given ID, or nil.
func (f *Fleet) Endpoint(id string) *Endpoint { return f.endpoints[id] }

// Submitted records a job that a caller is about to submit.
func (f *Fleet) Submitted(j *tmjob.Job) { f.jobs[j.ID] = j }

// Cancelled records that the cancellation of a job has just been confirmed.
func (f *Fleet) Cancelled(id string) { f.cancelled[id] = time.Now() }

// Rejected records that a job does not run: every answer to its submission said so, and
// none left the outcome open.
func (f *Fleet) Rejected(id string) { delete(f.jobs, id) }

// SetLimit sets the limit on the CPU that a team's running tasks may use, in thousandths
// of a core.
func (f *Fleet) SetLimit(team string, cpu int64) { f.limits[team] = cpu }

// SetZoneOutOfService records that the operator has just taken a zone out of service, or
// back into service.
func (f *Fleet) SetZoneOutOfService(zone string, outOfService bool) {
	delete(f.zonesOutOfService, zone)
	if outOfService {
		f.zonesOutOfService[zone] = time.Now()
	}
}

func (f *Fleet) step(t tmjob.TaskID) *tmjob.Step {
	j := f.jobs[t.Job]
	if j == nil || t.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[t.Step]
}
