package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

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
	// after is the earliest time of the next order, once one was refused.
	after tmclock.Millis
}

type wave struct {
	Wave
	items []*waveItem
	began tmclock.Millis
	// changed says that the progress is to be reported.
	changed bool
	done    bool
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
	// busyPause is the pause after an order was refused because the instance is not
	// up, or leaves.
	busyPause = 400 * tmclock.Millisecond
)

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
		it.after = now.Add(busyPause)
		if e := c.endpointOn(it.id); e != nil && !it.doubt {
			e.ending = false
		}
	}
}

// reserveFor keeps tasks away from a new endpoint on an instance about which an order
// is under way: the order was decided while nothing ran there.
func (c *Controller) reserveFor(e *endpoint) {
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			if it.id == e.info.Instance && (it.state == dutyDraining || it.state == dutyOrdered) {
				e.reserved = true
				e.ending = it.state == dutyOrdered
			}
		}
	}
	if m := c.fleet.moves[e.info.Instance]; m != nil && m.pool != e.info.Service {
		e.reserved, e.ending = true, true
	}
}

func (c *Controller) unreserve(instance string) {
	if e := c.endpointOn(instance); e != nil {
		e.reserved = false
	}
}

func (c *Controller) planWave(w *wave, pools map[string]*pool, now tmclock.Millis) {
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
	if down+draining < max(w.Bound, 1) {
		for _, it := range c.nextDue(w) {
			if down+draining >= max(w.Bound, 1) {
				break
			}
			if c.beginDrain(it, now) {
				draining++
			}
		}
	}
	for _, it := range w.items {
		if it.state == dutyDraining && !it.doubt {
			c.relocate(it.id, pools, now)
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
	if now.Before(c.fleet.orderAfter[it.id]) || now.Before(it.after) {
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
	drained := e.onlyLongRunning() || now.Sub(it.since) >= drainTime && c.pressed(w, now)
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
