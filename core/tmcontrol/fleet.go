package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// InstanceState is where an instance is in its life.
type InstanceState int

// States of an instance.
const (
	InstanceUp InstanceState = iota
	InstanceMoving
	InstanceUpkeep
	InstanceDown
)

// Instance is an instance as the platform lists it.
type Instance struct {
	ID, Pool, Zone string
	State          InstanceState
	Labels         []string
	Capacity       tmjob.Amount
	// Endpoint is the identifier of the process that runs on it, or "".
	Endpoint string
}

// Wave is a request for the maintenance of instances.
type Wave struct {
	Name      string
	Number    int64
	Instances []string
	// Within is the time that the wave may take.
	Within tmclock.Span
	// Bound is how many instances may be down for it at once.
	Bound int
}

// Directive is everything that the operator has directed, as of one moment.
type Directive struct {
	Rules    Rules
	ZonesOut []string
	Waves    []Wave
}

// InstanceOrder starts the maintenance of an instance, or moves it.
type InstanceOrder struct {
	Instance string
	Token    int64
	// Pool is where the instance moves, "" for maintenance.
	Pool string
	// Wave is the number of the wave that asks for maintenance.
	Wave int64
}

// WaveReport says that the state of a wave changed.
type WaveReport struct {
	Wave      string
	Completed bool
	// Done lists the instances whose maintenance is done.
	Done []string
}

// duty is where an instance is in a wave.
type duty int

const (
	dutyDue duty = iota
	// dutyDraining: the instance gets no new tasks.
	dutyDraining
	// dutyOrdered: the order was sent and its answer is awaited.
	dutyOrdered
	// dutyDown: the maintenance has begun.
	dutyDown
	dutyDone
)

type waveItem struct {
	id    string
	state duty
	since tmclock.Millis
	// doubt says that an order got no answer, so that the maintenance may begin
	// at any time.
	doubt bool
}

type wave struct {
	Wave
	items []*waveItem
	began tmclock.Millis
	// changed says that the progress is to be reported.
	changed bool
	done    bool
}

// fleet is what the controller knows of instances, waves and moves.
type fleet struct {
	instances map[string]Instance
	listedAt  tmclock.Millis
	known     bool
	waves     map[string]*wave
	restored  map[string]WaveReport
	moves     map[string]*move
	moveAfter map[string]tmclock.Millis
	barred    map[barredMove]bool
	demands   map[string]*demand
	sizedAt   tmclock.Millis
	// starved holds the pools in which a long-running task found no place since
	// the last sizing.
	starved map[string]bool
	orders  []InstanceOrder
	reports []WaveReport
	// unstored are orders that wait until it is stored that they are given, so
	// that the next owner keeps its distance; ordered is when each was given.
	unstored []InstanceOrder
	ordered  map[string]tmclock.Millis
	// orderAfter is the earliest time of an order about an instance about which
	// an earlier owner may have given one just before.
	orderAfter map[string]tmclock.Millis
}

const (
	// drainTime is how long tasks on an instance may go on at least before
	// maintenance ends them.
	drainTime = 2500 * tmclock.Millisecond
	// upkeepSlack is how much longer than the maintenance itself an instance is
	// away, with the time until the next one is ordered.
	upkeepSlack = 1000 * tmclock.Millisecond
	// orderAgain is the time after which an order without an answer is sent
	// again.
	orderAgain = 700 * tmclock.Millisecond
)

func newFleet() fleet {
	return fleet{
		instances: map[string]Instance{}, waves: map[string]*wave{}, restored: map[string]WaveReport{},
		moves: map[string]*move{}, moveAfter: map[string]tmclock.Millis{},
		barred: map[barredMove]bool{}, demands: map[string]*demand{},
		starved: map[string]bool{}, ordered: map[string]tmclock.Millis{},
		orderAfter: map[string]tmclock.Millis{},
	}
}

// Apply takes in what the operator has directed.
func (c *Controller) Apply(d Directive, now tmclock.Millis) {
	c.SetRules(d.Rules)
	out := map[string]bool{}
	for _, z := range d.ZonesOut {
		out[z] = true
		c.SetZoneOut(z, true)
	}
	for z := range c.zonesOut {
		if !out[z] {
			c.SetZoneOut(z, false)
		}
	}
	for _, w := range d.Waves {
		if c.fleet.waves[w.Name] == nil {
			c.addWave(w, now)
		}
	}
}

func (c *Controller) addWave(w Wave, now tmclock.Millis) {
	added := &wave{Wave: w, began: now, changed: true}
	for _, id := range w.Instances {
		added.items = append(added.items, &waveItem{id: id})
	}
	if r, ok := c.fleet.restored[w.Name]; ok {
		added.restore(r)
	}
	c.fleet.waves[w.Name] = added
	c.event(tmevent.WaveBegins, "wave", w.Name, "instances", len(w.Instances), "bound", w.Bound, "within_ms", int64(w.Within))
}

func (w *wave) report() WaveReport {
	r := WaveReport{Wave: w.Name, Completed: w.done}
	for _, it := range w.items {
		if it.state == dutyDone {
			r.Done = append(r.Done, it.id)
		}
	}
	return r
}

// RestoreWave takes in the stored progress of a wave.
func (c *Controller) RestoreWave(r WaveReport) {
	c.fleet.restored[r.Wave] = r
	if w := c.fleet.waves[r.Wave]; w != nil {
		w.restore(r)
	}
}

func (w *wave) restore(r WaveReport) {
	w.done = r.Completed
	done := map[string]bool{}
	for _, id := range r.Done {
		done[id] = true
	}
	for _, it := range w.items {
		if done[it.id] || r.Completed {
			it.state = dutyDone
		}
	}
}

// NeedsInstances reports whether the list of instances is of use now.
func (c *Controller) NeedsInstances() bool {
	if !c.fleet.known {
		return true
	}
	if c.standby() != "" || len(c.fleet.moves) > 0 {
		return true
	}
	for _, e := range c.endpoints {
		if !e.answering && len(e.runs) > 0 {
			return true
		}
	}
	for _, w := range c.fleet.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// SetInstances takes in the list of instances that was asked for at sentAt.
func (c *Controller) SetInstances(list []Instance, sentAt tmclock.Millis) {
	c.fleet.instances = make(map[string]Instance, len(list))
	for _, i := range list {
		c.fleet.instances[i.ID] = i
	}
	c.fleet.listedAt, c.fleet.known = sentAt, true
	for _, e := range c.endpoints {
		c.checkAlive(e, sentAt)
	}
	for _, m := range c.fleet.moves {
		c.checkMove(m, sentAt)
	}
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			c.checkBack(w, it, sentAt)
		}
	}
}

// checkAlive ends the life of an endpoint whose instance is down, or runs
// another endpoint: that is known long before its lease has lapsed.
func (c *Controller) checkAlive(e *endpoint, sentAt tmclock.Millis) {
	i, ok := c.fleet.instances[e.info.Instance]
	if !ok || e.gone || !sentAt.After(e.listedAt) {
		return
	}
	switch {
	case i.State == InstanceDown:
		c.endLife(e, "instance is down")
	case i.State == InstanceUp && i.Endpoint != "" && i.Endpoint != e.info.ID:
		c.endLife(e, "instance has a new endpoint")
	}
}

// checkBack finds out from the list of instances whether the maintenance of an
// instance still goes on. An order is also accepted when the maintenance was
// done before, so only the list shows that the endpoint on it is gone.
func (c *Controller) checkBack(w *wave, it *waveItem, sentAt tmclock.Millis) {
	if it.state != dutyDown || !sentAt.After(it.since) {
		return
	}
	i, ok := c.fleet.instances[it.id]
	e := c.endpointOn(it.id)
	up := ok && i.State == InstanceUp
	if e != nil && sentAt.After(e.listedAt) && (!up || i.Endpoint != "" && i.Endpoint != e.info.ID) {
		c.endLife(e, "maintenance")
	}
	if ok && !up {
		return
	}
	it.state = dutyDone
	w.changed = true
	if e != nil && !e.gone {
		e.reserved, e.ending = false, false
	}
	c.event(tmevent.UpkeepDone, "instance", it.id, "wave", w.Name)
}

// RestoreOrders takes in the instances about which the earlier owner has given
// orders of late.
func (c *Controller) RestoreOrders(instances []string, now tmclock.Millis) {
	for _, id := range instances {
		c.fleet.orderAfter[id] = now.Add(c.bounds.TurnTime)
	}
}

// orderInstance queues an order until it is stored that it is given.
func (c *Controller) orderInstance(o InstanceOrder, now tmclock.Millis) {
	c.fleet.ordered[o.Instance] = now
	c.fleet.unstored = append(c.fleet.unstored, o)
}

// recentOrders returns the instances about which orders were given of late.
func (c *Controller) recentOrders(now tmclock.Millis) []string {
	ids := []string{}
	for id, at := range c.fleet.ordered {
		if now.Sub(at) > c.bounds.TurnTime {
			delete(c.fleet.ordered, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// TakeInstanceOrders returns the orders and reports that came up since the last
// call.
func (c *Controller) TakeInstanceOrders() ([]InstanceOrder, []WaveReport) {
	orders, reports := c.fleet.orders, c.fleet.reports
	c.fleet.orders, c.fleet.reports = nil, nil
	return orders, reports
}

// InstanceOrdered takes in the answer to an order.
func (c *Controller) InstanceOrdered(o InstanceOrder, a Answer, now tmclock.Millis) {
	c.event(tmevent.InstanceOrder, "instance", o.Instance, "wave", o.Wave, "pool", o.Pool, "answer", a.String(), "token", o.Token)
	if o.Pool != "" {
		c.moveAnswer(o, a, now)
		return
	}
	for _, w := range c.fleet.waves {
		if w.Number != o.Wave {
			continue
		}
		for _, it := range w.items {
			if it.id == o.Instance && it.state == dutyOrdered {
				c.upkeepAnswer(it, a, now)
			}
		}
	}
}

func (c *Controller) upkeepAnswer(it *waveItem, a Answer, now tmclock.Millis) {
	it.since = now
	switch a {
	case Accepted:
		it.state = dutyDown
	case Refused:
		// There is no such instance any more.
		it.state = dutyDone
		c.unreserve(it.id)
	case Fenced:
		c.Fence(it.id)
	case NoAnswer:
		it.doubt = true
		it.state = dutyDraining
	default:
		it.state = dutyDraining
		if e := c.endpointOn(it.id); e != nil && !it.doubt {
			e.ending = false
		}
	}
}

// endpointOn returns the endpoint that lives on an instance, or nil.
func (c *Controller) endpointOn(instance string) *endpoint {
	for _, e := range c.endpoints {
		if e.info.Instance == instance && e.listed && !e.gone {
			return e
		}
	}
	return nil
}

func (c *Controller) unreserve(instance string) {
	if e := c.endpointOn(instance); e != nil {
		e.reserved = false
	}
}

// planFleet carries on with the waves and the sizes of pools.
func (c *Controller) planFleet(now tmclock.Millis, _ int64) {
	if !c.fleet.known {
		return
	}
	for _, w := range c.fleet.waves {
		if !w.done {
			c.planWave(w, now)
		}
	}
	c.planPools(now)
}

func (c *Controller) planWave(w *wave, now tmclock.Millis) {
	down, draining, open := 0, 0, 0
	for _, it := range w.items {
		switch it.state {
		case dutyOrdered, dutyDown:
			down++
		case dutyDraining:
			draining++
			if it.doubt {
				down++
			}
		case dutyDue:
			// An earlier owner may have ordered it.
			if c.fleet.instances[it.id].State == InstanceUpkeep || now.Before(c.fleet.orderAfter[it.id]) {
				down++
			}
		case dutyDone:
		}
		if it.state != dutyDone {
			open++
		}
	}
	if open == 0 {
		w.done = true
		c.event(tmevent.WaveDone, "wave", w.Name, "took_ms", int64(now.Sub(w.began)))
		c.fleet.reports = append(c.fleet.reports, w.report())
		return
	}
	if w.changed {
		w.changed = false
		c.fleet.reports = append(c.fleet.reports, w.report())
	}
	for _, it := range c.nextDue(w) {
		if down+draining >= max(w.Bound, 1) {
			break
		}
		if c.beginDrain(it, now) {
			draining++
		}
	}
	for _, it := range w.items {
		if it.state == dutyDraining && !it.doubt {
			c.relocate(it.id, now)
		}
		if it.state == dutyDraining && c.mayTakeDown(it, w, down, now) {
			it.state = dutyOrdered
			if !it.doubt {
				down++
			}
			it.since = now
			if e := c.endpointOn(it.id); e != nil {
				e.ending = true
			}
			c.orderInstance(InstanceOrder{Instance: it.id, Token: c.token, Wave: w.Number}, now)
		}
	}
}

// nextDue returns the items whose turn has not come, those with the least work
// on them first.
func (c *Controller) nextDue(w *wave) []*waveItem {
	var due []*waveItem
	load := map[*waveItem]int64{}
	for _, it := range w.items {
		if it.state != dutyDue {
			continue
		}
		due = append(due, it)
		if e := c.endpointOn(it.id); e != nil {
			load[it] = e.used.CPU
		}
	}
	slices.SortStableFunc(due, func(a, b *waveItem) int { return cmp.Compare(load[a], load[b]) })
	return due
}

func (c *Controller) beginDrain(it *waveItem, now tmclock.Millis) bool {
	i, ok := c.fleet.instances[it.id]
	if !ok {
		it.state = dutyDone
		return false
	}
	if i.State != InstanceUp {
		return false
	}
	e := c.endpointOn(it.id)
	it.state, it.since = dutyDraining, now
	if e != nil {
		e.reserved = true
	}
	return true
}

func (c *Controller) mayTakeDown(it *waveItem, w *wave, down int, now tmclock.Millis) bool {
	if now.Before(c.fleet.orderAfter[it.id]) {
		return false
	}
	if it.doubt {
		return now.Sub(it.since) >= orderAgain
	}
	if down >= max(w.Bound, 1) {
		return false
	}
	e := c.endpointOn(it.id)
	if e == nil {
		return true
	}
	drained := c.onlyLongRunning(e) || now.Sub(it.since) >= drainTime && c.pressed(w, now)
	return drained && c.mayEndAll(e)
}

// pressed reports whether a wave would be late if it waited for tasks to end.
func (c *Controller) pressed(w *wave, now tmclock.Millis) bool {
	open := 0
	for _, it := range w.items {
		if it.state != dutyDone {
			open++
		}
	}
	bound := max(w.Bound, 1)
	rounds := (open + bound - 1) / bound
	need := tmclock.Span(rounds)*(c.bounds.Upkeep+upkeepSlack) + drainTime
	return now.Add(need).After(w.began.Add(w.Within))
}

func (c *Controller) onlyLongRunning(e *endpoint) bool {
	for _, r := range e.runs {
		if !r.task.step.spec.LongRunning {
			return false
		}
	}
	return true
}

// mayEndAll reports whether ending all runs of an endpoint leaves every
// long-running step within the number of tasks that may be away.
func (c *Controller) mayEndAll(e *endpoint) bool {
	ending := map[*step]int{}
	for _, r := range e.runs {
		if r.task.step.spec.MayMiss > 0 {
			ending[r.task.step]++
		}
	}
	for s, n := range ending {
		if n+c.away(s, e) > s.spec.MayMiss {
			return false
		}
	}
	return true
}

// relocate stops long-running tasks on an instance that has more of one step
// than may be ended at once. They start again elsewhere, one by one.
func (c *Controller) relocate(instance string, now tmclock.Millis) {
	e := c.endpointOn(instance)
	if e == nil {
		return
	}
	here := map[*step]int{}
	for _, r := range e.runs {
		if r.task.step.spec.MayMiss > 0 {
			here[r.task.step]++
		}
	}
	p := c.pools(now)[e.info.Service]
	for _, r := range sortedRuns(e) {
		s := r.task.step
		if p == nil || c.choose(s, p, now) == nil {
			c.fleet.starved[e.info.Service] = true
			continue
		}
		if here[s] <= s.spec.MayMiss || r.stop || c.away(s, nil) >= s.spec.MayMiss {
			continue
		}
		here[s]--
		c.stopRun(r, "makes way for maintenance")
	}
}

func sortedRuns(e *endpoint) []*run {
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.task.id.String(), b.task.id.String()) })
	return runs
}

// away counts the tasks of a step, without those at e, that are not at work or
// are about to be ended.
func (c *Controller) away(s *step, e *endpoint) int {
	n := 0
	for _, t := range s.tasks {
		here, ending := false, false
		for _, r := range t.active {
			here = here || r.ep == e
			ending = ending || r.ep.ending
		}
		if !here && (ending || !t.atWork()) {
			n++
		}
	}
	return n
}
