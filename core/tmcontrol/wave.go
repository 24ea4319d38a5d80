package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmorder"
)

// Wave is a request for the maintenance of instances.
type Wave struct {
	Name      string
	Number    int64
	Instances []string
	// TimeLimit is how long the wave may take.
	TimeLimit tmclock.Span
	// MaxUnavailable is how many instances may be down for the wave at once.
	MaxUnavailable int
}

// WaveReport is the state of a wave after a change.
type WaveReport struct {
	Wave      string
	Completed bool
	// Done lists the instances whose maintenance is done.
	Done []string
}

// itemState is the stage of an instance in a wave.
type itemState int

const (
	itemDue itemState = iota
	// itemDraining: the instance gets no new tasks.
	itemDraining
	// itemOrdered: the order was sent and its answer is outstanding.
	itemOrdered
	// itemDown: the maintenance has begun.
	itemDown
	itemDone
)

type waveItem struct {
	id    string
	state itemState
	since tmclock.Millis
	// unanswered is set if an order got no answer. The platform may have accepted that
	// order, so the maintenance may begin at any time.
	unanswered bool
	// retryAt is the earliest time of the next order after an order was refused.
	retryAt tmclock.Millis
}

type wave struct {
	Wave
	items []*waveItem
	// parts holds the shard of each instance of the wave.
	parts []int
	// slots is how many instances of the shard may be down for the wave at once.
	slots     int
	startedAt tmclock.Millis
	// changed is set if the progress has to be reported.
	changed bool
	done    bool
}

const (
	// minDrainTime is the minimum time that tasks on an instance may continue before
	// maintenance ends them.
	minDrainTime = 2500 * tmclock.Millisecond
	// maintenanceOverhead is how much longer than the maintenance itself an instance
	// is away, including the time until the next one is ordered.
	maintenanceOverhead = 1000 * tmclock.Millisecond
	// orderRetryInterval is the time after which an order without an answer is sent
	// again.
	orderRetryInterval = 700 * tmclock.Millisecond
	// busyRetryDelay is the delay after an order was refused because the instance is
	// not up or is leaving.
	busyRetryDelay = 400 * tmclock.Millisecond
)

func (c *Controller) addWave(w Wave, now tmclock.Millis) {
	added := &wave{Wave: w, parts: c.shard.WaveParts(w.Instances), startedAt: now, changed: true}
	for _, id := range w.Instances {
		if c.shard.OwnsInstance(id) {
			added.items = append(added.items, &waveItem{id: id})
		}
	}
	if r, ok := c.fleet.restored[w.Name]; ok {
		added.restore(r)
	}
	c.fleet.waves[w.Name] = added
	c.event(tmevent.WaveBegins, "wave", w.Name, "instances", len(added.items), "bound", w.MaxUnavailable, "within_ms", int64(w.TimeLimit))
}

// WavePartFinished records that a shard has stored that its part of a wave is finished.
// Its slots pass to other shards.
func (c *Controller) WavePartFinished(wave string, shard int) {
	parts := c.fleet.finishedParts[wave]
	if parts == nil {
		parts = map[int]bool{}
		c.fleet.finishedParts[wave] = parts
	}
	parts[shard] = true
}

// report returns the progress of the wave to be stored, with as many of the instances as
// fit into a row. The platform accepts an order for maintenance that is already done, so
// the next owner does no harm with an order for one that is left out.
func (c *Controller) report(w *wave) WaveReport {
	r := WaveReport{Wave: w.Name, Completed: w.done}
	if w.done {
		return r
	}
	room := c.rowBytes() - waveRowBytes
	for _, it := range w.items {
		if it.state != itemDone {
			continue
		}
		room -= tmjob.TextBytes(it.id) + listItemBytes
		if room < 0 {
			break
		}
		r.Done = append(r.Done, it.id)
	}
	return r
}

// waveRowBytes is the most bytes that the row of a wave has besides its instances,
// listItemBytes those that a row has for an item of a list besides its text.
const (
	waveRowBytes  = 100
	listItemBytes = 3
)

// RestoreWave loads the stored progress of a wave.
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
			it.state = itemDone
		}
	}
}

// checkMaintenance determines from the list of instances whether the maintenance
// of an instance is still in progress. The platform also accepts an order for
// maintenance that is already done, so an accepted order doesn't show that the
// endpoint on the instance is gone; only the list does.
func (c *Controller) checkMaintenance(w *wave, it *waveItem, sentAt tmclock.Millis) {
	if it.state != itemDown || !sentAt.After(it.since) {
		return
	}
	i, ok := c.fleet.instances[it.id]
	e := c.endpointOn(it.id)
	up := ok && i.State == InstanceUp
	if e != nil && sentAt.After(e.listedAt) && (!up || i.Endpoint != "" && i.Endpoint != e.info.ID) {
		c.endLifetime(e, causeMaintenance)
	}
	if ok && !up {
		return
	}
	it.state = itemDone
	w.changed = true
	if e != nil && !e.gone {
		e.reserved, e.ending = false, false
	}
	c.event(tmevent.UpkeepDone, "instance", it.id, "wave", w.Name, "cause", "maintenance")
}

func (c *Controller) maintenanceAnswer(it *waveItem, a Answer, now tmclock.Millis) {
	it.since = now
	switch a {
	case Accepted:
		it.state = itemDown
	case Refused:
		// The instance no longer exists.
		it.state = itemDone
		c.unreserve(it.id)
	case Fenced:
		c.OwnerFenced(it.id)
	case NoAnswer:
		it.unanswered = true
		it.state = itemDraining
	default:
		it.state = itemDraining
		it.retryAt = now.Add(busyRetryDelay)
		if e := c.endpointOn(it.id); e != nil && !it.unanswered {
			e.ending = false
		}
	}
}

// reserveFor keeps tasks away from a new endpoint on an instance with an order in
// progress. The order was decided without those tasks and would end them.
func (c *Controller) reserveFor(e *endpoint) {
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			if it.id == e.info.Instance && (it.state == itemDraining || it.state == itemOrdered) {
				e.reserved = true
				e.ending = it.state == itemOrdered
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
	finished := c.fleet.finishedParts[w.Name]
	w.slots = c.shard.WaveSlots(w.parts, w.MaxUnavailable, func(shard int) bool { return finished[shard] })
	down, draining, open := 0, 0, 0
	unsettled := false
	for _, it := range w.items {
		switch {
		case it.state == itemDone:
			continue
		case c.mayBeDown(it, now):
			down++
			unsettled = unsettled || it.state == itemDue
		case it.state == itemDraining:
			draining++
		}
		open++
	}
	if open == 0 {
		w.done = true
		c.event(tmevent.WaveDone, "wave", w.Name, "took_ms", int64(now.Sub(w.startedAt)))
		c.fleet.reports = append(c.fleet.reports, c.report(w))
		return
	}
	if w.changed {
		w.changed = false
		c.fleet.reports = append(c.fleet.reports, c.report(w))
	}
	if unsettled || down+draining < w.slots {
		c.drainNext(w, down, draining, now)
	}
	for _, it := range w.items {
		if it.state == itemDraining && !it.unanswered {
			c.relocate(it.id, pools)
		}
		if it.state == itemDraining && c.mayTakeDown(it, w, down, now) {
			if !c.mayBeDown(it, now) {
				down++
			}
			it.state = itemOrdered
			it.since = now
			if e := c.endpointOn(it.id); e != nil {
				e.ending = true
			}
			c.orderInstance(InstanceOrder{Instance: it.id, Token: c.tokens.First(), Wave: w.Number})
		}
	}
}

// drainNext begins to drain items that are due, within the bound of the wave: down of its items may
// be down, and draining others are being drained.
func (c *Controller) drainNext(w *wave, down, draining int, now tmclock.Millis) {
	for _, it := range c.nextDue(w, now) {
		counted := c.mayBeDown(it, now)
		if counted && down > w.slots {
			continue
		}
		if !counted && down+draining >= w.slots {
			return
		}
		if c.beginDrain(it, w, now) && !counted {
			draining++
		}
	}
}

// mayBeDown reports whether the maintenance of an item that is not done has begun, or may begin at
// any time: its order is on its way, or one got no answer or may have got none at an earlier owner.
func (c *Controller) mayBeDown(it *waveItem, now tmclock.Millis) bool {
	return it.state == itemOrdered || it.state == itemDown || it.unanswered ||
		c.mayHaveEarlierOrder(it.id, now) || c.fleet.instances[it.id].State == InstanceMaintenance
}

// nextDue returns the items that are still due: first those that may be down anyway, because the
// order of this owner settles that, then those on the least loaded instances.
func (c *Controller) nextDue(w *wave, now tmclock.Millis) []*waveItem {
	var due []*waveItem
	load := map[*waveItem]int64{}
	for _, it := range w.items {
		if it.state != itemDue {
			continue
		}
		due = append(due, it)
		if e := c.endpointOn(it.id); e != nil {
			load[it] = e.used.CPU
		}
	}
	slices.SortStableFunc(due, func(a, b *waveItem) int {
		return cmp.Or(tmorder.First(c.mayBeDown(a, now), c.mayBeDown(b, now)), cmp.Compare(load[a], load[b]))
	})
	return due
}

// beginDrain keeps new tasks away from an instance that is due. An instance that no longer
// exists is done, but a list that is older than the wave doesn't show that: the instance may be
// newer than the list.
func (c *Controller) beginDrain(it *waveItem, w *wave, now tmclock.Millis) bool {
	i, ok := c.fleet.instances[it.id]
	if !ok && c.fleet.listedAt.After(w.startedAt) {
		c.event(tmevent.UpkeepDone, "instance", it.id, "wave", w.Name, "cause", "the instance does not exist")
		it.state = itemDone
		return false
	}
	if !ok || i.State != InstanceUp {
		return false
	}
	e := c.endpointOn(it.id)
	it.state, it.since = itemDraining, now
	if e != nil {
		e.reserved = true
	}
	return true
}

func (c *Controller) mayTakeDown(it *waveItem, w *wave, down int, now tmclock.Millis) bool {
	if now.Before(c.fleet.earliestOrder[it.id]) || now.Before(it.retryAt) {
		return false
	}
	if it.unanswered {
		return now.Sub(it.since) >= orderRetryInterval
	}
	if !c.mayBeDown(it, now) {
		down++
	}
	if down > w.slots {
		return false
	}
	e := c.endpointOn(it.id)
	if e == nil {
		return true
	}
	drained := e.onlyLongRunning() || now.Sub(it.since) >= minDrainTime && c.behindSchedule(w, now)
	return drained && c.mayEndAll(e)
}

// behindSchedule reports whether a wave would miss its time limit if it waited for
// tasks to end.
func (c *Controller) behindSchedule(w *wave, now tmclock.Millis) bool {
	open := 0
	for _, it := range w.items {
		if it.state != itemDone {
			open++
		}
	}
	bound := max(w.slots, 1)
	rounds := (open + bound - 1) / bound
	need := tmclock.Span(rounds)*(c.bounds.Maintenance+maintenanceOverhead) + minDrainTime
	return now.Add(need).After(w.startedAt.Add(w.TimeLimit))
}
