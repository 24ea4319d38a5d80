package tmcontrol

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

const (
	vacateTaskTime = 800 * tmclock.Millisecond
	vacateStep     = 50 * tmclock.Millisecond
)

// scarceFixture is a fixture whose tasks end some time after their start.
type scarceFixture struct {
	*fixture
	active []timedRun
}

type timedRun struct {
	order StartOrder
	ends  tmclock.Millis
}

// newScarceFixture returns a fleet of seven endpoints in pool s, which has far more late work
// than it can run, and two in pool u, for which a burst arrives that can still be served.
func newScarceFixture(t *testing.T) *scarceFixture {
	f := &scarceFixture{fixture: newFixture(t, 9)}
	rules := testRules(2)
	rules.Services["u"] = Service{Name: "u"}
	rules.Queues["qu"] = Queue{Name: "qu", Service: "u", Attempts: 2, Stretch: 1.6, Objective: 5000}
	f.c.SetRules(rules)
	var list []Instance
	for i := range 9 {
		instance := upInstance("i" + strconv.Itoa(i+1))
		instance.Endpoint = "e" + strconv.Itoa(i+1)
		list = append(list, instance)
	}
	for _, i := range []int{8, 9} {
		list[i-1].Pool = "u"
		info := f.endpointInfo(i)
		info.Service = "u"
		f.c.SetEndpoint(info, f.now)
	}
	f.now += 60_000
	f.c.SetInstances(list, f.now)
	f.c.OwnershipConfirmed(f.now)
	late := oneTask("late")
	late.Steps[0].Count, late.Steps[0].Estimate = 600, vacateTaskTime
	f.c.Submitted(late)
	return f
}

// runTasks lets time pass. It returns the instances that are ordered to move to pool u.
func (f *scarceFixture) runTasks(d tmclock.Span) (moved []string) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.c.OwnershipConfirmed(f.now)
		for _, s := range f.advance(vacateStep) {
			// Tasks of different lengths keep an endpoint from becoming idle by chance.
			extra := tmclock.Span(s.Ref.Task.Index%8) * vacateStep
			f.active = append(f.active, timedRun{s, f.now.Add(vacateTaskTime + extra)})
		}
		active := f.active
		f.active = nil
		for _, r := range active {
			if f.now.Before(r.ends) {
				f.active = append(f.active, r)
				continue
			}
			f.end(r.order.Ref.Endpoint, r.order.Ref.Task, r.order.Ref.Run, EndDone)
		}
		orders, _ := f.c.TakeInstanceOrders()
		for _, o := range orders {
			if o.Pool == "u" {
				moved = append(moved, o.Instance)
			}
			f.c.InstanceOrdered(o, Accepted, f.now)
		}
	}
	return moved
}

func (f *scarceFixture) submitBurst() {
	j := oneTask("burst")
	j.Queue, j.Accepted = "qu", int64(f.now)
	j.Steps[0].Count, j.Steps[0].Estimate = 60, vacateTaskTime
	f.c.Submitted(j)
}

// Guards against a pool that keeps nearly the whole fleet for work that is late anyway, while
// another pool has a burst that could still be served: no endpoint of the first pool was ever
// idle, so that no instance moved.
func TestStarvedPoolGetsInstancesOfLateWork(t *testing.T) {
	f := newScarceFixture(t)
	assert.Equal(t, len(f.runTasks(2*tmclock.Second)), 0)
	f.submitBurst()
	moved := f.runTasks(2500 * tmclock.Millisecond)
	assert.Assert(t, len(moved) >= 3, "only %v moved", moved)
	left := 0
	for _, e := range f.c.endpoints {
		if e.info.Service == "s" && !e.ending {
			left++
		}
	}
	assert.Assert(t, left >= minPoolSize)
}

// Guards against endpoints that stay empty although the other pool needs them no longer.
func TestVacatedEndpointsAreUsedAgain(t *testing.T) {
	f := newScarceFixture(t)
	f.runTasks(vacateStep * 10)
	f.submitBurst()
	f.advance(sizingInterval)
	vacating := func() int {
		n := 0
		for _, e := range f.c.endpoints {
			if e.vacatingSince != 0 {
				n++
			}
		}
		return n
	}
	assert.Assert(t, vacating() > 0)
	f.c.Cancelled("burst")
	// The forecast of the demand that the burst has brought falls over seconds.
	for until := f.now.Add(5 * tmclock.Second); f.now.Before(until); {
		f.c.OwnershipConfirmed(f.now)
		f.advance(sizingInterval)
	}
	assert.Equal(t, vacating(), 0)
}

// Guards against an endpoint that is kept empty for long because one of its tasks doesn't end.
func TestVacatingEnds(t *testing.T) {
	f := newScarceFixture(t)
	f.advance(10)
	f.submitBurst()
	f.advance(sizingInterval)
	for _, e := range f.c.endpoints {
		if e.vacatingSince != 0 {
			f.now = e.vacatingSince.Add(maxVacateTime)
		}
	}
	f.c.OwnershipConfirmed(f.now)
	f.advance(10)
	for _, e := range f.c.endpoints {
		assert.Assert(t, e.vacatingSince == 0 || e.vacatingSince == f.now)
	}
}

// newVacateFixture returns four endpoints of which each runs a task of 800 ms that leaves room.
func newVacateFixture(t *testing.T) *fixture {
	f := newFixture(t, 4)
	var list []Instance
	for i := 1; i <= 4; i++ {
		instance := upInstance(f.endpointInfo(i).Instance)
		instance.Endpoint = f.endpointInfo(i).ID
		list = append(list, instance)
	}
	f.c.SetInstances(list, f.now)
	for i := range 4 {
		j := sized("run"+strconv.Itoa(i), "t", 1, 1000)
		j.Steps[0].Size.CPU, j.Steps[0].Estimate = 5000, vacateTaskTime
		f.c.Submitted(j)
	}
	for n := 0; n < 4; {
		n += len(f.advance(10))
	}
	return f
}

// Guards against endpoints with overdue runs that are chosen to be vacated, as if they were idle
// at once, before those whose runs end soon.
func TestOverdueRunsDoNotEndAtOnce(t *testing.T) {
	f := newVacateFixture(t)
	f.now = f.now.Add(1000)
	for _, id := range []string{"e3", "e4"} {
		for _, r := range f.c.endpoints[id].runs {
			r.startedAt = f.now.Add(100 - vacateTaskTime)
		}
	}
	f.c.vacateEndpoints("s", 2, f.now)
	for id, vacating := range map[string]bool{"e1": false, "e2": false, "e3": true, "e4": true} {
		assert.Equal(t, f.c.endpoints[id].vacatingSince != 0, vacating, id)
	}
}

// Guards against an endpoint that is vacated again and again because one of its runs doesn't end.
func TestEndpointIsNotVacatedAgainAtOnce(t *testing.T) {
	f := newVacateFixture(t)
	f.now = f.now.Add(1000)
	vacated := 0
	for range 60 {
		f.now = f.now.Add(100)
		f.c.vacateEndpoints("s", 1, f.now)
		if f.c.endpoints["e1"].vacatingSince != 0 {
			vacated++
		}
	}
	assert.Assert(t, vacated > 0 && vacated <= int(maxVacateTime)/100, "vacated in %d of 60 passes", vacated)
}

// Guards against a job that stands still for 3 s in a half-empty pool because the only endpoint
// with its label is vacated, once or for longer.
func TestVacatedEndpointsAreUsedBeforeAJobStandsStill(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		f := newVacateFixture(t)
		e := f.labelEndpoint(0)
		for i := 2; i <= 4; i++ {
			f.finishRuns(f.endpointInfo(i).ID)
		}
		f.now = f.now.Add(500)
		f.c.vacateEndpoints("s", 1, f.now)
		assert.Assert(t, e.vacatingSince != 0)
		f.submitLabelled()
		// The sizes of the pools would call for no vacating.
		f.c.fleet.sizedAt = f.now.Add(10 * tmclock.Second)
		for began := f.now; !f.c.jobs["labelled"].begun; {
			f.c.vacateEndpoints("s", 1, f.now)
			if renewed {
				e.vacatingSince = f.now
			}
			f.advance(50)
			assert.Assert(t, f.now.Sub(began) < 3*tmclock.Second, "vacated for longer: %v", renewed)
		}
	}
}

// Guards against an endpoint that gets no tasks, or keeps its capacity for others, because of what was
// planned before it restarted under its id.
func TestRestartEndsVacatingAndReservation(t *testing.T) {
	f := newVacateFixture(t)
	e := f.c.endpoints["e1"]
	f.c.vacateEndpoints("s", 4, f.now)
	assert.Assert(t, e.vacatingSince != 0)
	e.reservedRoom = &reservedRoom{}
	f.restart("e1")
	assert.Assert(t, e.vacatingSince == 0 && e.reservedRoom == nil)
}
