package tmentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmfresh"
	"turmericmoor/core/tmroute"
	"turmericmoor/io/tmendpoint"
)

// nonceMargin is how long a nonce must still be valid when a start is sent, so
// that the start arrives in time.
const nonceMargin = 100 * tmclock.Millisecond

// lease is the lease that the entry holds at one endpoint. It is guarded by
// tables.mu.
type lease struct {
	instance tmfleet.Instance
	id       string
	nonce    string
	// sentAt is when the call that returned the nonce was sent. The endpoint
	// issued the nonce later than that, so counting its validity from sentAt is
	// safe.
	sentAt tmclock.Millis
	slots  int
	free   int
	state  tmendpoint.State
	// failed is set once the nonce has expired because renewals failed.
	failed bool
}

// valid reports whether a start that is sent now may use the nonce.
func (l *lease) valid(now tmclock.Millis) bool {
	return l.nonce != "" && now.Sub(l.sentAt) < tmfresh.LeaseDuration-nonceMargin
}

// leaseKeeper renews the leases with one goroutine for each endpoint.
type leaseKeeper struct {
	e *Entry

	mu       sync.Mutex
	triggers map[string]chan struct{}
	stops    map[string]context.CancelFunc
	loops    sync.WaitGroup
	done     bool
}

func newLeaseKeeper(e *Entry) *leaseKeeper {
	return &leaseKeeper{
		e:        e,
		triggers: map[string]chan struct{}{},
		stops:    map[string]context.CancelFunc{},
	}
}

// sync starts and stops goroutines as instances are added and removed.
func (k *leaseKeeper) sync(state tmfleet.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	instances := state.Config().Instances()
	for name, stop := range k.stops {
		if !instances.Has(name) {
			stop()
			delete(k.stops, name)
			delete(k.triggers, name)
		}
	}
	if k.done {
		return
	}
	for name := range instances.All() {
		if _, ok := k.stops[name]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(k.e.ctx)
		trigger := make(chan struct{}, 1)
		k.stops[name] = cancel
		k.triggers[name] = trigger
		k.loops.Go(func() { k.keep(ctx, name, trigger) })
	}
}

// triggerRenewal makes the lease at one endpoint be renewed at once.
func (k *leaseKeeper) triggerRenewal(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if trigger, ok := k.triggers[name]; ok {
		notify(trigger)
	}
}

// notify sends a notification unless one is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// keep renews the lease at one endpoint until ctx ends.
func (k *leaseKeeper) keep(ctx context.Context, name string, trigger chan struct{}) {
	ticker := time.NewTicker(tmfresh.LeaseRenewInterval.Duration())
	defer ticker.Stop()
	for {
		if k.e.fresh() {
			k.renew(ctx, name)
		}
		select {
		case <-ctx.Done():
			k.e.tables.dropLease(name)
			return
		case <-ticker.C:
		case <-trigger:
		}
	}
}

// renew makes one call to the endpoint: it takes, renews or releases the lease.
func (k *leaseKeeper) renew(ctx context.Context, name string) {
	want, id, address := k.e.tables.wantedSlots(name)
	switch {
	case address == "":
	case id == "" && want > 0:
		k.call(name, func() (tmendpoint.Grant, error) {
			return k.e.endpoints.Lease(ctx, address, k.e.self.Incarnation(), want)
		})
	case id != "" && want == 0:
		// A release frees the slots at once, instead of after the lease time.
		if err := k.e.endpoints.Release(ctx, address, id); err == nil || errors.Is(err, tmendpoint.ErrLeaseEnded) {
			k.e.tables.dropLease(name)
		}
	case id != "":
		k.call(name, func() (tmendpoint.Grant, error) {
			return k.e.endpoints.Renew(ctx, address, id, want)
		})
	}
}

// call makes a lease call and records its result.
func (k *leaseKeeper) call(name string, do func() (tmendpoint.Grant, error)) {
	sentAt := k.e.tables.renewalSent(name)
	grant, err := do()
	switch {
	case err == nil:
		k.e.tables.granted(name, sentAt, grant)
	case errors.Is(err, tmendpoint.ErrLeaseEnded):
		k.e.tables.dropLease(name)
		k.triggerRenewal(name)
	default:
		k.e.metrics.renewalErrors.Inc()
		k.e.tables.renewalFailed(name)
	}
}

// releaseAll stops all goroutines and releases all leases.
func (k *leaseKeeper) releaseAll(ctx context.Context) {
	k.mu.Lock()
	k.done = true
	for _, stop := range k.stops {
		stop()
	}
	k.mu.Unlock()
	k.loops.Wait()
	var calls sync.WaitGroup
	for _, l := range k.e.tables.takeLeases() {
		calls.Go(func() {
			// If the call fails, the lease expires by itself.
			_ = k.e.endpoints.Release(ctx, l.instance.Address(), l.id)
		})
	}
	calls.Wait()
}

func (k *leaseKeeper) wait() {
	k.loops.Wait()
}

// wantedSlots returns the number of slots to lease at an endpoint, the id of
// the lease held there, if any, and the address. Slots in use are always
// wanted. The address is empty for an unknown instance.
func (t *tables) wantedSlots(name string) (want int, id, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, ok := t.state.Config().Instances().Get(name)
	if !ok {
		return 0, "", ""
	}
	if l, held := t.leases[name]; held {
		id = l.id
	}
	running := t.picker.Running(name)
	if !t.state.Config().Usable(in) || !t.liveLocked(name) || t.stopping {
		return running, id, in.Address()
	}
	target := t.targets[in.Pool()].Get(name, t.e.self.Incarnation())
	return max(target, running), id, in.Address()
}

// renewalSent records that a lease call is being sent, and returns the time.
func (t *tables) renewalSent(name string) tmclock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.RenewalSent(name)
	return t.clock.Now()
}

// granted records the lease that an endpoint has granted or renewed.
func (t *tables) granted(name string, sentAt tmclock.Millis, g tmendpoint.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, ok := t.state.Config().Instances().Get(name)
	if !ok {
		return
	}
	l, ok := t.leases[name]
	if !ok {
		l = &lease{}
		t.leases[name] = l
	}
	*l = lease{
		instance: in,
		id:       g.Lease,
		nonce:    g.Nonce,
		sentAt:   sentAt,
		slots:    g.Slots,
		free:     g.Free,
		state:    g.State,
	}
	t.health.LeaseRenewed(name)
	t.updateEndpointLocked(name)
	t.wakeLocked()
}

// renewalFailed records a failed renewal. Once the lease is no longer valid,
// the endpoint is ejected until a renewal succeeds.
func (t *tables) renewalFailed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.leases[name]; ok && !l.failed && !l.valid(t.clock.Now()) {
		l.failed = true
		t.health.LeaseLost(name)
	}
	t.updateEndpointLocked(name)
}

// dropLease removes the lease at an endpoint.
func (t *tables) dropLease(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, name)
	t.updateEndpointLocked(name)
}

// takeLeases removes all leases and returns them.
func (t *tables) takeLeases() []*lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*lease, 0, len(t.leases))
	for _, l := range t.leases {
		all = append(all, l)
	}
	clear(t.leases)
	t.updateEndpointsLocked()
	return all
}

// updateEndpointsLocked updates the picker for all endpoints, and removes
// leases at instances that are no longer configured.
func (t *tables) updateEndpointsLocked() {
	instances := t.state.Config().Instances()
	for name := range instances.All() {
		t.updateEndpointLocked(name)
	}
	for name := range t.leases {
		if !instances.Has(name) {
			delete(t.leases, name)
			t.picker.Remove(name)
		}
	}
}

// updateEndpointLocked updates the picker with what is known about an endpoint.
func (t *tables) updateEndpointLocked(name string) {
	in, ok := t.state.Config().Instances().Get(name)
	if !ok {
		t.picker.Remove(name)
		return
	}
	e := tmroute.Endpoint{
		Name:  name,
		Pool:  in.Pool(),
		Zone:  in.Zone(),
		Rack:  in.Rack(),
		Slots: in.Slots(),
	}
	if l, held := t.leases[name]; held {
		e.Leased = l.slots
		e.Busy = in.Slots() - l.free
		e.Usable = t.usableLocked(in, l)
	}
	t.picker.Update(e)
}

// usableLocked reports whether a task may be started at the instance: the
// State, the platform's list and the endpoint itself permit it, and the lease
// is valid.
func (t *tables) usableLocked(in tmfleet.Instance, l *lease) bool {
	return t.state.Config().Usable(in) &&
		t.liveLocked(in.Name()) &&
		l.state == tmendpoint.Serving &&
		l.valid(t.clock.Now())
}
