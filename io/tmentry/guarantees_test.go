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

// shortBound is the bound in the guarantees that say "within seconds" and "a
// few seconds".
const shortBound = 5 * time.Second

// loadTimeout bounds the time that a request that can't start delays the test.
const loadTimeout = 3 * tmclock.Second

// partition drops all traffic between one entry and its peers while entry is
// set.
type partition struct{ entry atomic.Pointer[string] }

func (c *partition) filter(from, to string) bool {
	name := c.entry.Load()
	return name == nil || from != *name && to != *name
}

// load submits requests through all entries until it is stopped.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
	ok   atomic.Int64
}

// startLoad starts a load with the given number of concurrent callers per
// entry.
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

// starts returns the task starts in the journals of all endpoints.
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

// startsAfter counts the matching task starts after a point in time.
func (f *fleet) startsAfter(at time.Time, match func(tmfakeendpoint.Event) bool) int {
	n := 0
	for _, ev := range f.starts() {
		if ev.AtMs > at.UnixMilli() && match(ev) {
			n++
		}
	}
	return n
}

// partitionEntry partitions an entry from the platform and its peers.
func (f *fleet) partitionEntry(c *partition, entry int) {
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

// partitionCase applies a change while one entry is partitioned, and waits
// until it is accepted. It returns how many matching tasks started after the
// bound.
func partitionCase(t *testing.T, change tmchange.Change, match func(tmfakeendpoint.Event) bool, disable ...tmentry.Mechanism) int {
	t.Helper()
	c := &partition{}
	f := newFleetWith(t, 3, c.filter)
	f.configure(24)
	for _, m := range disable {
		f.entries[2].Disable(m)
		f.entries[0].Disable(m)
	}
	l := f.startLoad(4, tmrequest.Params{Idempotent: true, Timeout: loadTimeout}, 30)
	f.eventually(10*time.Second, "requests are answered and all entries hold units", func() bool { return l.ok.Load() > 50 && f.allHold() })
	f.partitionEntry(c, 2)
	status, err := f.entries[0].Apply(context.Background(), tmoperator.ChangeRequest{ID: uuid.NewString(), Changes: []tmchange.Change{change}})
	assert.NilError(t, err)
	assert.Assert(t, status.InForce)
	deadline := time.Now().Add(shortBound)
	time.Sleep(time.Until(deadline.Add(1500 * time.Millisecond)))
	l.end()
	return f.startsAfter(deadline, match)
}

// Guarantee: a withdrawn key stops working within 5 s. Fault: an entry is
// partitioned from the platform and its peers when the key is withdrawn.
func TestWithdrawnKeyStopsAtPartitionedEntry(t *testing.T) {
	t.Parallel()
	change := tmchange.WithdrawKey{Label: "first"}
	every := func(tmfakeendpoint.Event) bool { return true }
	assert.Equal(t, partitionCase(t, change, every), 0)
}

// Negative control: an entry that acts on a State of any age still accepts the
// withdrawn key.
func TestWithdrawnKeyNeedsFreshness(t *testing.T) {
	t.Parallel()
	change := tmchange.WithdrawKey{Label: "first"}
	every := func(tmfakeendpoint.Event) bool { return true }
	assert.Assert(t, partitionCase(t, change, every, tmentry.Freshness) > 0)
}

// Guarantee: no task starts in a zone more than 5 s after the zone was taken
// out of service. Fault: an entry is partitioned from the platform and its
// peers when the zone is taken out.
func TestZoneOutStopsAtPartitionedEntry(t *testing.T) {
	t.Parallel()
	inZone := func(ev tmfakeendpoint.Event) bool { return ev.Zone == "b" }
	assert.Equal(t, partitionCase(t, tmchange.ZoneOut{Name: "b"}, inZone), 0)
}

// Negative control: an entry that acts on a State of any age still starts tasks
// in the zone.
func TestZoneOutNeedsFreshness(t *testing.T) {
	t.Parallel()
	inZone := func(ev tmfakeendpoint.Event) bool { return ev.Zone == "b" }
	assert.Assert(t, partitionCase(t, tmchange.ZoneOut{Name: "b"}, inZone, tmentry.Freshness) > 0)
}

// maxRunning returns the largest number of tasks that ran at the same time,
// from the starts and ends in the journals of all endpoints.
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
	// Within a millisecond, ends are sorted before starts: the journals have
	// whole milliseconds, and a slot that was freed may be used again in the
	// same one.
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
// table service are lost, an entry is killed and the table service is down. It
// returns the largest number of tasks that ran at the same time.
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
	f.eventually(10*time.Second, "requests are answered and all entries hold units", func() bool { return l.ok.Load() > 20 && f.allHold() })
	f.platform.SetControl(tmfakeplatform.Control{LoseAnswers: 8})
	f.eventually(10*time.Second, "requests are answered despite lost answers of the table service", func() bool { return l.ok.Load() > 150 })
	f.entries[1].Kill()
	before := l.ok.Load()
	f.eventually(20*time.Second, "requests are answered without the killed entry", func() bool { return l.ok.Load() > before+150 })
	f.platform.SetControl(tmfakeplatform.Control{Down: true})
	before = l.ok.Load()
	f.eventually(10*time.Second, "requests are answered during the outage", func() bool { return l.ok.Load() > before+50 })
	f.platform.SetControl(tmfakeplatform.Control{})
	l.end()
	return f.maxRunning(time.Time{})
}

// Guarantee: no team runs more tasks than its upper limit. Faults: lost answers
// of the table service, an entry that is killed while it holds a slice, an
// outage of the table service.
func TestLimitHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	assert.Assert(t, limitCase(t, 6) <= 6)
}

// Negative control: entries that start tasks without units exceed the limit.
func TestLimitNeedsSlices(t *testing.T) {
	t.Parallel()
	assert.Assert(t, limitCase(t, 6, tmentry.Slices) > 6)
}

// leavingCase makes the platform list an endpoint as leaving, with a lag (2 s),
// while one entry is partitioned from its peers. It returns how many tasks
// started there after the bound, counted from when the list shows the endpoint
// as leaving.
func leavingCase(t *testing.T, disable ...tmentry.Mechanism) int {
	t.Helper()
	const lag = 2 * time.Second
	c := &partition{}
	f := newFleetWith(t, 3, c.filter)
	f.configure(24)
	for _, e := range f.entries {
		for _, m := range disable {
			e.Disable(m)
		}
	}
	l := f.startLoad(4, tmrequest.Params{Idempotent: true, Timeout: loadTimeout}, 30)
	f.eventually(10*time.Second, "requests are answered and all entries hold units", func() bool { return l.ok.Load() > 50 && f.allHold() })
	name := "entry-2"
	c.entry.Store(&name)
	f.platform.SetControl(tmfakeplatform.Control{ListLagMs: lag.Milliseconds()})
	f.platform.SetInstance(tmfakeplatform.Instance{Name: "ep-0", Zone: "a", Rack: "r-ep-0", Address: f.addresses["ep-0"], State: "leaving"})
	deadline := time.Now().Add(lag + shortBound)
	time.Sleep(time.Until(deadline.Add(time.Second)))
	l.end()
	return f.startsAfter(deadline, func(ev tmfakeendpoint.Event) bool { return ev.Endpoint == "ep-0" })
}

// Guarantee: a leaving endpoint gets no new work after 5 s. Faults: the list
// lags, and an entry is partitioned from its peers.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	t.Parallel()
	assert.Equal(t, leavingCase(t), 0)
}

// Negative control: entries that ignore the list still start tasks there.
func TestLeavingEndpointNeedsList(t *testing.T) {
	t.Parallel()
	assert.Assert(t, leavingCase(t, tmentry.List) > 0)
}

// repeatCase submits a recorded request through one entry whose answer is lost
// after the run, and repeats it through every entry. It returns how often the
// request ran.
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
	return len(f.startsOf(p.ID))
}

// Guarantee: a non-idempotent request runs at most once. Fault: the answer is
// lost after the run, and the request is repeated through every entry.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	t.Parallel()
	assert.Equal(t, repeatCase(t), 1)
}

// Negative control: without a record the repeated requests run again.
func TestRepeatedRequestNeedsRecord(t *testing.T) {
	t.Parallel()
	assert.Assert(t, repeatCase(t, tmentry.RecordOfRuns) > 1)
}

// Guarantee: a caller gets the complete answer to its own request. Faults:
// answers that are swapped between requests, cut short or late.
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

// staleEntryCase applies a change through one entry while another one is
// partitioned. It returns how often a ready entry was seen with an older
// version after the change was accepted.
func staleEntryCase(t *testing.T, disable ...tmentry.Mechanism) int {
	t.Helper()
	c := &partition{}
	f := newFleetWith(t, 3, c.filter)
	f.configure(24)
	for _, m := range disable {
		f.entries[0].Disable(m)
	}
	f.partitionEntry(c, 2)
	status, err := f.entries[0].Apply(context.Background(), tmoperator.ChangeRequest{
		ID: uuid.NewString(), Changes: []tmchange.Change{tmchange.SetShare{Team: "crews", Share: 3}},
	})
	assert.NilError(t, err)
	assert.Assert(t, status.InForce)
	stale := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, e := range f.entries {
			state, err := e.State(context.Background())
			assert.NilError(t, err)
			if state.Version() < status.Version && e.Ready() {
				stale++
			}
		}
	}
	return stale
}

// Guarantee: an accepted configuration is in force at every entry. Fault: an
// entry is partitioned when the change is made.
func TestAcceptedChangeIsInForce(t *testing.T) {
	t.Parallel()
	assert.Equal(t, staleEntryCase(t), 0)
}

// Negative control: without the wait for confirmation, the partitioned entry
// still acts on the old version.
func TestAcceptedChangeNeedsConfirmation(t *testing.T) {
	t.Parallel()
	assert.Assert(t, staleEntryCase(t, tmentry.Confirmation) > 0)
}

// Guards against an idempotent request under which endpoints crash and that is sent to
// one endpoint after another.
func TestIdempotentRequestReachesFewEndpoints(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.configure(24)
	for _, e := range f.endpoints {
		e.SetFaults(tmfakeendpoint.Faults{LoseAfterRun: true})
	}
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	p := tmrequest.Params{ID: id.String(), CallerChoseID: true, Idempotent: true}
	const maxStartsOfOneCall = 3
	for entry := range f.entries {
		before := len(f.startsOf(p.ID))
		_, fail := f.submit(entry, p, 20)
		assert.Assert(t, fail != nil)
		assert.Equal(t, fail.Outcome().String(), "unknown")
		assert.Assert(t, len(f.startsOf(p.ID))-before <= maxStartsOfOneCall)
	}
}

// startsOf returns the starts of a request at all endpoints.
func (f *fleet) startsOf(id string) []tmfakeendpoint.Event {
	var starts []tmfakeendpoint.Event
	for _, ev := range f.starts() {
		if ev.RequestID == id {
			starts = append(starts, ev)
		}
	}
	return starts
}
