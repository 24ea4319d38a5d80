package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// newStandbyFixture returns a fleet with that many instances in standby and work for all.
func newStandbyFixture(t *testing.T, instances int) *fixture {
	f := newFixture(t, 2)
	rules := testRules(2)
	rules.Services["off"] = Service{Name: "off", Standby: true}
	f.c.SetRules(rules)
	list := []Instance{upInstance("i1"), upInstance("i2")}
	for i := range instances {
		standby := upInstance(fmt.Sprintf("standby-%d", i))
		standby.Pool = "off"
		list = append(list, standby)
	}
	f.c.SetInstances(list, f.now)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Size = (instances+2)*2, tmjob.Resources{CPU: 4000, Mem: 1}
	f.c.Submitted(j)
	return f
}

// Guards against a large fleet that is late for a burst: only 200 instances could be ordered
// to move within the time of a handover, however many were needed.
func TestManyInstancesMoveAtOnce(t *testing.T) {
	const instances = 600
	f := newStandbyFixture(t, instances)
	assert.Assert(t, f.countMoves(3) >= instances)
}

// Guards against moves that wait for the time of a handover behind orders that were never
// sent: after an outage of the store the first ones were too old, and those decided anew
// found the list of recent orders full.
func TestOrdersThatAreNotSentHoldUpNoOthers(t *testing.T) {
	const instances = 600
	f := newStandbyFixture(t, instances)
	f.c.bounds.RowBytes = minRowBytesForTest
	f.now = f.now.Add(sizingInterval)
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	f.c.SetStale(true)
	for flush := f.c.TakeFlush(f.now); flush != nil; flush = f.c.TakeFlush(f.now) {
		f.c.Stored(flush, f.now)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
	f.c.SetStale(false)
	f.now = f.now.Add(unsentMoveDelay)
	assert.Assert(t, f.countMoves(2) > instances/2)
}

// minRowBytesForTest is a row that holds the instances of one round of the test, not of two.
const minRowBytesForTest = 10_000
