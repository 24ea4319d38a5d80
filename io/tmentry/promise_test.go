package tmentry_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmrequest"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/internal/standin/tmfakeplatform"
	"turmericmoor/io/tmentry"
	"turmericmoor/io/tmoperator"
)

// shortBound is the bound for "within seconds" and "a few seconds".
const shortBound = 5 * time.Second

// loadTimeout keeps a request that can't start from holding up the test.
const loadTimeout = 3 * tmclock.Second

// cut drops all traffic between one entry and its peers while it is set.
type cut struct{ entry atomic.Pointer[string] }

func (c *cut) filter(from, to string) bool {
	name := c.entry.Load()
	return name == nil || from != *name && to != *name
}

// load keeps submitting through all entries until it is stopped.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
	ok   atomic.Int64
}

func (f *fleet) startLoad(perEntry int, p tmrequest.Params, runMs int64) *load {
	l := &load{stop: make(chan struct{})}
	for entry := range f.entries {
		for range perEntry {
			l.wg.Go(func() {
				for {
					select {
					case <-l.stop:
						return
					default:
					}
					if _, fail := f.submit(entry, p, tmclock.Span(runMs)); fail != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					l.ok.Add(1)
				}
			})
		}
	}
	f.t.Cleanup(l.end)
	return l
}

func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wg.Wait()
}

// starts returns the task starts that all endpoints have recorded.
func (f *fleet) starts() []tmfakeendpoint.Event {
	var all []tmfakeendpoint.Event
	for _, e := range f.endpoints {
		for _, ev := range e.Journal() {
			if ev.Kind == "start" {
				all = append(all, ev)
			}
		}
	}
	return all
}

// startsAfter counts the starts after a point in time that match.
func (f *fleet) startsAfter(at time.Time, match func(tmfakeendpoint.Event) bool) int {
	n := 0
	for _, ev := range f.starts() {
		if ev.AtMs > at.UnixMilli() && match(ev) {
			n++
		}
	}
	return n
}

// isolate cuts an entry off from the platform and its peers.
func (f *fleet) isolate(c *cut, entry int) {
	name := fmt.Sprintf("entry-%d", entry)
	var others []string
	for i := range f.entries {
		if i != entry {
			others = append(others, fmt.Sprintf("entry-%d", i))
		}
	}
	c.entry.Store(&name)
	f.platform.SetControl(tmfakeplatform.Control{Only: others})
}

// allHold reports whether every entry holds units of the team's limit.
func (f *fleet) allHold() bool {
	for _, e := range f.entries {
		data, err := e.Dump(context.Background())
		assert.NilError(f.t, err)
		var d struct{ Slices []struct{ Held int } }
		assert.NilError(f.t, json.Unmarshal(data, &d))
		if len(d.Slices) == 0 || d.Slices[0].Held == 0 {
			return false
		}
	}
	return true
}

// cutOffCase applies a change while one entry is cut off, waits until the
// change is accepted, and returns how many matching tasks started more than the
// bound later.
func cutOffCase(t *testing.T, change tmchange.Change, match func(tmfakeendpoint.Event) bool, disable ...tmentry.Mechanism) int {
	t.Helper()
	c := &cut{}
	f := newFleetWith(t, 3, c.filter)
	f.configure(24)
	for _, m := range disable {
		f.entries[2].Disable(m)
		f.entries[0].Disable(m)
	}
	l := f.startLoad(4, tmrequest.Params{Idempotent: true, Timeout: loadTimeout}, 30)
	f.eventually(10*time.Second, "work runs through all entries", func() bool { return l.ok.Load() > 50 && f.allHold() })
	f.isolate(c, 2)
	status, err := f.entries[0].Apply(context.Background(), tmoperator.ChangeRequest{ID: uuid.NewString(), Changes: []tmchange.Change{change}})
	assert.NilError(t, err)
	assert.Assert(t, status.InForce)
	deadline := time.Now().Add(shortBound)
	time.Sleep(time.Until(deadline.Add(1500 * time.Millisecond)))
	l.end()
	return f.startsAfter(deadline, match)
}

// Promise: a withdrawn key stops working within 5 s. Fault: an entry is cut off
// from the platform and from its peers when the key is withdrawn.
func TestWithdrawnKeyStopsAtCutOffEntry(t *testing.T) {
	t.Parallel()
	change := tmchange.WithdrawKey{Label: "first"}
	every := func(tmfakeendpoint.Event) bool { return true }
	assert.Equal(t, cutOffCase(t, change, every), 0)
}

// Negative control: an entry that acts on a State of any age goes on with the
// withdrawn key.
func TestWithdrawnKeyNeedsFreshness(t *testing.T) {
	t.Parallel()
	change := tmchange.WithdrawKey{Label: "first"}
	every := func(tmfakeendpoint.Event) bool { return true }
	assert.Assert(t, cutOffCase(t, change, every, tmentry.Freshness) > 0)
}

// Promise: no task starts in a zone more than 5 s after it was taken out.
// Fault: an entry is cut off when the zone is taken out.
func TestZoneOutStopsAtCutOffEntry(t *testing.T) {
	t.Parallel()
	inZone := func(ev tmfakeendpoint.Event) bool { return ev.Zone == "b" }
	assert.Equal(t, cutOffCase(t, tmchange.ZoneOut{Name: "b"}, inZone), 0)
}

// Negative control: an entry that acts on a State of any age goes on in the
// zone.
func TestZoneOutNeedsFreshness(t *testing.T) {
	t.Parallel()
	inZone := func(ev tmfakeendpoint.Event) bool { return ev.Zone == "b" }
	assert.Assert(t, cutOffCase(t, tmchange.ZoneOut{Name: "b"}, inZone, tmentry.Freshness) > 0)
}

// maxRunning returns the largest number of a team's tasks that ran at a time,
// from the starts and ends of all endpoints.
func (f *fleet) maxRunning(from time.Time) int {
	type edge struct {
		at    int64
		delta int
	}
	var edges []edge
	for _, e := range f.endpoints {
		for _, ev := range e.Journal() {
			switch ev.Kind {
			case "start":
				edges = append(edges, edge{ev.AtMs, 1})
			case "end", "stop":
				edges = append(edges, edge{ev.AtMs, -1})
			}
		}
	}
	// Ends come first within a millisecond: the journals show whole
	// milliseconds, and a slot that was freed may be used in the same one.
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
	running, most := 0, 0
	for _, e := range edges {
		running += e.delta
		if e.at >= from.UnixMilli() {
			most = max(most, running)
		}
	}
	return most
}

// limitCase loads all entries far above a team's limit while answers of the
// table service are lost and an entry is killed, and returns the largest
// number of tasks that ran at a time.
func limitCase(t *testing.T, limit int, disable ...tmentry.Mechanism) int {
	t.Helper()
	f := newFleet(t, 3)
	f.configure(limit)
	for _, e := range f.entries {
		for _, m := range disable {
			e.Disable(m)
		}
	}
	l := f.startLoad(8, tmrequest.Params{Idempotent: true, Timeout: loadTimeout}, 60)
	f.eventually(10*time.Second, "work runs through all entries", func() bool { return l.ok.Load() > 20 && f.allHold() })
	f.platform.SetControl(tmfakeplatform.Control{LoseAnswers: 8})
	f.eventually(10*time.Second, "work goes on", func() bool { return l.ok.Load() > 150 })
	f.entries[1].Kill()
	before := l.ok.Load()
	f.eventually(20*time.Second, "work goes on without the killed entry", func() bool { return l.ok.Load() > before+150 })
	f.platform.SetControl(tmfakeplatform.Control{Down: true})
	before = l.ok.Load()
	f.eventually(10*time.Second, "work goes on during the outage", func() bool { return l.ok.Load() > before+50 })
	f.platform.SetControl(tmfakeplatform.Control{})
	l.end()
	return f.maxRunning(time.Time{})
}

// Promise: no team runs more than its upper limit. Faults: lost answers of the
// table service, an entry that is killed while it holds a slice, an outage.
func TestLimitHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	assert.Assert(t, limitCase(t, 6) <= 6)
}

// Negative control: entries that start tasks without units exceed the limit.
func TestLimitNeedsSlices(t *testing.T) {
	t.Parallel()
	assert.Assert(t, limitCase(t, 6, tmentry.Slices) > 6)
}

// leavingCase lets the platform list an endpoint as leaving, with a lag of 2 s,
// while one entry is cut off from its peers, and counts the starts there more
// than the bound after the list shows it.
func leavingCase(t *testing.T, disable ...tmentry.Mechanism) int {
	t.Helper()
	const lag = 2 * time.Second
	c := &cut{}
	f := newFleetWith(t, 3, c.filter)
	f.configure(24)
	for _, e := range f.entries {
		for _, m := range disable {
			e.Disable(m)
		}
	}
	l := f.startLoad(4, tmrequest.Params{Idempotent: true, Timeout: loadTimeout}, 30)
	f.eventually(10*time.Second, "work runs through all entries", func() bool { return l.ok.Load() > 50 && f.allHold() })
	name := "entry-2"
	c.entry.Store(&name)
	f.platform.SetControl(tmfakeplatform.Control{ListLagMs: lag.Milliseconds()})
	f.platform.SetInstance(tmfakeplatform.Instance{Name: "ep-0", Zone: "a", Rack: "r-ep-0", Address: f.addresses["ep-0"], State: "leaving"})
	deadline := time.Now().Add(lag + shortBound)
	time.Sleep(time.Until(deadline.Add(time.Second)))
	l.end()
	return f.startsAfter(deadline, func(ev tmfakeendpoint.Event) bool { return ev.Endpoint == "ep-0" })
}

// Promise: a leaving endpoint gets no new work after 5 s. Faults: the list
// lags, an entry is cut off from its peers.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	t.Parallel()
	assert.Equal(t, leavingCase(t), 0)
}

// Negative control: entries that ignore the list go on.
func TestLeavingEndpointNeedsList(t *testing.T) {
	t.Parallel()
	assert.Assert(t, leavingCase(t, tmentry.List) > 0)
}

// repeatCase submits a recorded request through one entry, loses its answer
// after the run, repeats it through the others, and returns how often it ran.
func repeatCase(t *testing.T, disable ...tmentry.Mechanism) int {
	t.Helper()
	f := newFleet(t, 3)
	f.configure(24)
	for _, e := range f.entries {
		for _, m := range disable {
			e.Disable(m)
		}
	}
	for _, e := range f.endpoints {
		e.SetFaults(tmfakeendpoint.Faults{LoseAfterRun: true})
	}
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	p := tmrequest.Params{ID: id.String(), CallerChoseID: true}
	_, fail := f.submit(0, p, 20)
	assert.Assert(t, fail != nil)
	assert.Equal(t, fail.Outcome().String(), "unknown")
	for _, e := range f.endpoints {
		e.SetFaults(tmfakeendpoint.Faults{})
	}
	for entry := range f.entries {
		if _, fail := f.submit(entry, p, 20); fail != nil {
			assert.Assert(t, fail.Outcome().String() != "not_run", fail.Error())
		}
	}
	n := 0
	for _, ev := range f.starts() {
		if ev.RequestID == p.ID {
			n++
		}
	}
	return n
}

// Promise: a non-idempotent request runs at most once. Fault: the answer is
// lost after the run, and the request is repeated through every entry.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	t.Parallel()
	assert.Equal(t, repeatCase(t), 1)
}

// Negative control: without a record the repetitions run again.
func TestRepeatedRequestNeedsRecord(t *testing.T) {
	t.Parallel()
	assert.Assert(t, repeatCase(t, tmentry.RecordOfRuns) > 1)
}

// Promise: a caller gets the whole answer to its own request. Faults: answers
// that are crossed, cut short or late.
func TestCallersGetTheirOwnWholeAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.configure(32)
	faults := []tmfakeendpoint.Faults{{Cross: true}, {Cut: true}, {DelayMs: 300}, {Cross: true, DelayMs: 20}}
	i := 0
	for _, e := range f.endpoints {
		e.SetFaults(faults[i%len(faults)])
		i++
	}
	var wg sync.WaitGroup
	var wrong, answered atomic.Int64
	for i := range 60 {
		wg.Go(func() {
			id, _ := uuid.NewV7()
			answer, fail := f.submit(i%2, tmrequest.Params{ID: id.String(), Idempotent: i%3 != 0}, 10)
			if fail != nil {
				return
			}
			answered.Add(1)
			var got struct{ Echo string }
			if json.Unmarshal(answer.Body(), &got) != nil || got.Echo != id.String() {
				wrong.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, wrong.Load(), int64(0))
	assert.Assert(t, answered.Load() > 0)
}

// behindCase applies a change through one entry while another one is cut off,
// and counts how often a fresh entry has an older version after the change was
// accepted.
func behindCase(t *testing.T, disable ...tmentry.Mechanism) int {
	t.Helper()
	c := &cut{}
	f := newFleetWith(t, 3, c.filter)
	f.configure(24)
	for _, m := range disable {
		f.entries[0].Disable(m)
	}
	f.isolate(c, 2)
	status, err := f.entries[0].Apply(context.Background(), tmoperator.ChangeRequest{
		ID: uuid.NewString(), Changes: []tmchange.Change{tmchange.SetShare{Team: "crews", Share: 3}},
	})
	assert.NilError(t, err)
	assert.Assert(t, status.InForce)
	behind := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, e := range f.entries {
			state, err := e.State(context.Background())
			assert.NilError(t, err)
			if state.Version() < status.Version && e.Ready() {
				behind++
			}
		}
	}
	return behind
}

// Promise: an accepted configuration is in force everywhere. Fault: an entry
// is cut off when the change is made.
func TestAcceptedChangeIsInForce(t *testing.T) {
	t.Parallel()
	assert.Equal(t, behindCase(t), 0)
}

// Negative control: without the wait for confirmation the entry that is cut off
// still acts on the old version.
func TestAcceptedChangeNeedsConfirmation(t *testing.T) {
	t.Parallel()
	assert.Assert(t, behindCase(t, tmentry.Confirmation) > 0)
}
