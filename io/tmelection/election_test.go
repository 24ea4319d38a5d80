package tmelection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/internal/emulator"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// Guards against an owner that can't renew its row, and loses the fleet every second, because
// the numbers of waiting jobs of very many queues don't fit into it.
func TestOwnerOfManyQueuesRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.Store{Table: emulator.NewTable(rand.New(rand.NewPCG(1, 1)))}
		waiting := map[string]int{}
		for i := range 5000 {
			waiting[fmt.Sprintf("queue-with-a-long-name-%d", i)] = i
		}
		c := &Candidate{
			Board:  &Board{Store: s, Name: "n", Cores: 1, Emit: func(tmevent.Name, ...any) {}, OwnerChanged: func(int, tmrecord.Owner, time.Time) {}},
			Status: func() (map[string]int, bool) { return waiting, true },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		assert.NilError(t, c.write(ctx, tmrecord.Owner{Holder: "n", Token: 1}, 0))
		c.renew(ctx, 1, nil)
		row, _ := s.Get(tmrecord.OwnerKey(0))
		o, err := tmrecord.DecodeOwner(row.Value)
		assert.NilError(t, err)
		assert.Assert(t, o.Renewals >= 9, "%d renewals", o.Renewals)
		assert.Assert(t, !o.WaitingKnown)
	})
}

// Guards against the backlogs of an owner that don't reach the other nodes with its renewals.
func TestRenewalsCarryTheBacklogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.Store{Table: emulator.NewTable(rand.New(rand.NewPCG(1, 1)))}
		wait := 1000.0
		c := &Candidate{
			Board:  &Board{Store: s, Name: "n", Emit: func(tmevent.Name, ...any) {}, OwnerChanged: func(int, tmrecord.Owner, time.Time) {}},
			Status: func() (map[string]int, bool) { return nil, true },
			Backlogs: func() map[string]tmadmit.Backlog {
				wait += 1000
				return map[string]tmadmit.Backlog{"q": {Wait: wait, Work: 9, Drain: 2}}
			},
		}
		var got []float64
		var ages []time.Duration
		other := &Board{Store: s, Name: "m", Emit: func(tmevent.Name, ...any) {}, OwnerChanged: func(_ int, o tmrecord.Owner, readAt time.Time) {
			got = append(got, o.Backlogs["q"].Wait)
			ages = append(ages, time.Since(readAt))
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 1800*time.Millisecond)
		defer cancel()
		var following sync.WaitGroup
		following.Go(func() { other.Run(ctx) })
		assert.NilError(t, c.write(ctx, tmrecord.Owner{Holder: "n", Token: 1}, 0))
		c.renew(ctx, 1, nil)
		following.Wait()
		assert.DeepEqual(t, got, []float64{0, 2000, 3000, 4000})
		for _, age := range ages {
			assert.Equal(t, age, time.Duration(0))
		}
	})
}

// pausedFeed is a store whose answers wait for the node, which is paused for 8 s.
type pausedFeed struct {
	emulator.Store
	pausedFor atomic.Int64
}

func (s *pausedFeed) Feed(ctx context.Context, table string, after int64, wait tmclock.Span) (tmtable.Page, error) {
	page, err := s.Store.Feed(ctx, table, after, wait)
	if len(page.Rows) > 0 {
		s.pausedFor.Add(int64(8 * time.Second))
	}
	return page, err
}

// Guards against an old row that counts as new, because the answer with it waited while this
// node was paused: the store answers within feedWait, so that the rest of the time was spent on
// the way.
func TestRowThatWaitedForAPausedNodeIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pausedFeed{Store: emulator.Store{Table: emulator.NewTable(rand.New(rand.NewPCG(1, 1)))}}
		now := func() time.Time { return time.Now().Add(time.Duration(s.pausedFor.Load())) }
		var ages []time.Duration
		b := &Board{Store: s, Name: "n", Now: now, Emit: func(tmevent.Name, ...any) {}, OwnerChanged: func(_ int, _ tmrecord.Owner, readAt time.Time) {
			ages = append(ages, now().Sub(readAt))
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var following sync.WaitGroup
		following.Go(func() { b.Run(ctx) })
		synctest.Wait()
		s.Set(tmrecord.OwnerTable, tmrecord.OwnerKey(0).Key, tmrecord.EncodeOwner(tmrecord.Owner{Holder: "m", Token: 1}))
		following.Wait()
		assert.Equal(t, len(ages), 1)
		assert.Equal(t, ages[0], 8*time.Second-feedWait.Duration())
	})
}
