// Package exchange compares ways in which entries learn the demand of the whole
// fleet: full exchange of heartbeats among all entries, and epidemic averaging
// with random peers. It runs both on tables of counts with a clock that it
// moves, and with seeded delay and loss of messages.
package exchange

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"turmericmoor/core/tmclock"
)

const (
	// minDelay and maxDelay are the time of a message one way, between
	// availability zones of one region and with some load.
	minDelay = 1 * tmclock.Millisecond
	maxDelay = 10 * tmclock.Millisecond
	// tick is how often demand changes and views are compared.
	tick = 100 * tmclock.Millisecond
	// fluctuating is the part of the cells that change in each tick.
	fluctuating = 0.02
	// stepAt and deadAt are when demand steps and when an entry dies. Before
	// that all views have converged.
	stepAt = 10 * tmclock.Second
	deadAt = 10 * tmclock.Second
	length = 30 * tmclock.Second
	// silence is when a dead entry is removed from the members.
	silence = 10 * tmclock.Second
	// reportFor is how long a report counts in full exchange.
	reportFor = 3 * tmclock.Second
	// exchangeBytes is a heartbeat with its answer and no rows, as measured by
	// BenchmarkHeartbeat/update-idle of io/tmpeer.
	exchangeBytes = 185
	// nameBytes is a name of a pool or team with its quotes and comma.
	nameBytes = 11
	pools     = 36
	teams     = 150
)

// event is something due at a time; order makes equal times deterministic.
type event struct {
	at    tmclock.Millis
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// setting is one case of the measurement.
type setting struct {
	entries, cells int
	loss           float64
	step           bool
	fluctuates     bool
	dies           bool
}

// fleet holds the true counts and the messages under way. Entry 0 is the one
// that dies.
type fleet struct {
	setting
	rng    *rand.Rand
	now    tmclock.Millis
	queue  events
	order  int
	own    [][]int
	total  []int
	dead   bool
	bytes  int
	method method
}

// method is one way to learn the demand of the fleet.
type method interface {
	// start schedules the exchanges.
	start(f *fleet)
	// changed tells the method that a count of an entry has grown by n.
	changed(entry, cell, n int)
	// view writes the fleet-wide counts as an entry sees them.
	view(entry int, out []float64)
}

func newFleet(s setting, seed uint64, m method) *fleet {
	f := &fleet{setting: s, rng: rand.New(rand.NewPCG(seed, 1)), method: m}
	f.total = make([]int, s.cells)
	f.own = make([][]int, s.entries)
	for i := range f.own {
		f.own[i] = make([]int, s.cells)
		for c := range f.own[i] {
			f.own[i][c] = f.rng.IntN(10)
			f.total[c] += f.own[i][c]
		}
	}
	m.start(f)
	return f
}

func (f *fleet) after(d tmclock.Span, do func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, do: do})
}

// every calls do in each period of an entry, from a random phase on and as
// long as the entry lives.
func (f *fleet) every(entry int, period tmclock.Span, do func()) {
	var again func()
	again = func() {
		if f.alive(entry) {
			do()
			f.after(period, again)
		}
	}
	f.after(tmclock.Span(f.rng.Int64N(int64(period))), again)
}

// send delivers a message to an entry, unless it is lost or the entry is dead.
func (f *fleet) send(to int, size int, deliver func()) {
	f.bytes += size
	delay := minDelay + tmclock.Span(f.rng.Int64N(int64(maxDelay-minDelay)))
	if f.rng.Float64() < f.loss {
		return
	}
	f.after(delay, func() {
		if f.alive(to) {
			deliver()
		}
	})
}

func (f *fleet) alive(entry int) bool { return entry != 0 || !f.dead }

// member reports whether an entry is among the members; a dead one is until
// its silence is over.
func (f *fleet) member(entry int) bool {
	return f.alive(entry) || f.now.Before(tmclock.Millis(0).Add(deadAt+silence))
}

func (f *fleet) members() int {
	if f.member(0) {
		return f.entries
	}
	return f.entries - 1
}

func (f *fleet) set(entry, cell, n int) {
	by := n - f.own[entry][cell]
	f.own[entry][cell] = n
	f.total[cell] += by
	f.method.changed(entry, cell, by)
}

// sample is the error of the entries at a time.
type sample struct {
	at            tmclock.Span
	median, worst float64
}

// run moves the clock to the end and returns the errors at each tick.
func (f *fleet) run() []sample {
	var samples []sample
	for at := tick; at <= length; at += tick {
		f.advance(tmclock.Millis(0).Add(at))
		samples = append(samples, f.compare(at))
		f.change(at)
	}
	return samples
}

func (f *fleet) advance(until tmclock.Millis) {
	for len(f.queue) > 0 && f.queue[0].at.Before(until) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
	f.now = until
}

// change applies what happens to demand and entries at a time.
func (f *fleet) change(at tmclock.Span) {
	if f.dies && at == deadAt {
		f.dead = true
		for c, n := range f.own[0] {
			f.total[c] -= n
		}
	}
	for i := range f.own {
		if !f.alive(i) {
			continue
		}
		for c := range f.cells {
			switch {
			case f.step && at == stepAt && c%5 == 0:
				f.set(i, c, f.own[i][c]+f.rng.IntN(40))
			case f.fluctuates && f.rng.Float64() < fluctuating:
				f.set(i, c, f.rng.IntN(10))
			}
		}
	}
}

// compare returns the errors of all live entries: the sum of the differences
// in each cell as a part of the sum of the true counts.
func (f *fleet) compare(at tmclock.Span) sample {
	var errs []float64
	view := make([]float64, f.cells)
	for i := range f.own {
		if !f.alive(i) {
			continue
		}
		f.method.view(i, view)
		diff, sum := 0.0, 0.0
		for c, n := range f.total {
			diff += math.Abs(view[c] - float64(n))
			sum += float64(n)
		}
		errs = append(errs, diff/sum)
	}
	slices.Sort(errs)
	return sample{at: at, median: errs[len(errs)/2], worst: errs[len(errs)-1]}
}

// rowBytes is a row of pool, team, queued and running in JSON. The number of
// queued requests is taken to be as long as that of running ones.
func rowBytes(cell, n int) int {
	return digits(cell%pools) + digits(cell%teams) + 2*digits(n) + 4
}

func digits(n int) int { return len(strconv.Itoa(n)) }
