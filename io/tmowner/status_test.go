package tmowner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmshard"
)

// newIdleOwner returns an owner that does not run.
func newIdleOwner() *Owner {
	return New(Options{Clock: tmclock.NewSystem(), BootClock: time.Now, Shard: tmshard.Whole, Emit: func(tmevent.Event) {}}, 7)
}

// renewed returns a channel that is closed once the status of an owner was read and its
// ownership confirmed.
func renewed(o *Owner) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Status()
		o.OwnershipConfirmed(7)
	}()
	return done
}

// Guards against an owner that loses the fleet because the renewal of its ownership waits for
// a long pass of the planner.
func TestRenewalDoesNotWaitForThePlanner(t *testing.T) {
	const bound = time.Second
	o := newIdleOwner()
	o.Status()
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-renewed(o):
	case <-time.After(bound):
		t.Fatal("the renewal waits for the planner")
	}
	assert.Assert(t, o.isConfirmed())
}

// Guards against an owner that keeps the fleet for good though its planner hangs.
func TestHangingPlannerEndsTheRenewals(t *testing.T) {
	o := newIdleOwner()
	o.published.Store(&status{at: time.Now().Add(-maxStatusAge - time.Second)})
	o.mu.Lock()
	done := renewed(o)
	select {
	case <-done:
		t.Error("the ownership is renewed")
	case <-time.After(100 * time.Millisecond):
	}
	o.mu.Unlock()
	<-done
}

// Guards against backlogs of an owner whose planner hangs, which nodes would take for new with
// each renewal of its ownership.
func TestBacklogsOfAHangingPlannerAreNotPublished(t *testing.T) {
	o := newIdleOwner()
	assert.Equal(t, len(o.Backlogs()), 0)
	full := map[string]tmadmit.Backlog{"q": {Wait: 40_000, Work: 24e6, Drain: 600}}
	o.published.Store(&status{at: time.Now(), backlogs: full})
	o.mu.Lock()
	defer o.mu.Unlock()
	assert.DeepEqual(t, o.Backlogs(), full)
	o.published.Store(&status{at: time.Now().Add(-maxBacklogAge - time.Millisecond), backlogs: full})
	assert.Equal(t, len(o.Backlogs()), 0)
}

// Guards against operators who can't tell from the log when jobs of a queue began to wait, and
// against a log that is flooded while a wait is about as long as those that are reported.
func TestBacklogsAreLoggedWhenTheyBeginAndEnd(t *testing.T) {
	var logged []string
	o := New(Options{Clock: tmclock.NewSystem(), BootClock: time.Now, Shard: tmshard.Whole, Emit: func(e tmevent.Event) {
		logged = append(logged, fmt.Sprint(e.Name, e.Fields[:4]))
	}}, 7)
	one := map[string]tmadmit.Backlog{"q": {Wait: 900, Work: 9, Drain: 1}}
	two := map[string]tmadmit.Backlog{"q": {Wait: 950, Work: 9, Drain: 1}, "r": {Wait: 600, Work: 6, Drain: 1}}
	from := time.Now()
	after := func(d time.Duration, reported map[string]tmadmit.Backlog) { o.logBacklogs(reported, from.Add(d)) }
	after(0, one)
	// A report that is left out now and then is no end.
	after(800*time.Millisecond, nil)
	after(time.Second, one)
	after(1900*time.Millisecond, nil)
	after(2*time.Second, two)
	after(2900*time.Millisecond, nil)
	assert.Equal(t, len(logged), 2)
	after(3*time.Second, nil)
	assert.DeepEqual(t, logged, []string{
		"backlog_begins[queue q wait_ms 900]", "backlog_begins[queue r wait_ms 600]",
		"backlog_ends[queue q wait_ms 950]", "backlog_ends[queue r wait_ms 600]",
	})
}

// Guards against backlogs from before the machine was suspended, which nodes would take for new.
func TestBacklogsFromBeforeASuspensionAreNotPublished(t *testing.T) {
	now := time.Now()
	o := New(Options{Clock: tmclock.NewSystem(), BootClock: func() time.Time { return now }, Shard: tmshard.Whole, Emit: func(tmevent.Event) {}}, 7)
	full := map[string]tmadmit.Backlog{"q": {Wait: 40_000, Work: 24e6, Drain: 600}}
	o.published.Store(&status{at: now, backlogs: full})
	assert.DeepEqual(t, o.Backlogs(), full)
	now = now.Add(8 * time.Second)
	assert.Equal(t, len(o.Backlogs()), 0)
}
