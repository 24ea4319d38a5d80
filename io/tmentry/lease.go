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

// renewSlack is how long a nonce must still be valid for a start, so that the
// start arrives in time.
const renewSlack = 100 * tmclock.Millisecond

// lease is what the entry holds at one endpoint. It is guarded by tables.mu,
// except sending, which belongs to the goroutine of the endpoint.
type lease struct {
	instance tmfleet.Instance
	id       string
	nonce    string
	// sentAt is when the call that brought the nonce was sent: by the clock of
	// the endpoint the nonce was issued later.
	sentAt tmclock.Millis
	slots  int
	free   int
	state  tmendpoint.State
	failed bool
}

// valid reports whether a start that is sent now may quote the nonce.
func (l *lease) valid(now tmclock.Millis) bool {
	return l.nonce != "" && now.Sub(l.sentAt) < tmfresh.LeaseDuration-renewSlack
}

// leaseKeeper renews the leases: one goroutine for each endpoint.
type leaseKeeper struct {
	e *Entry

	mu    sync.Mutex
	kicks map[string]chan struct{}
	stops map[string]context.CancelFunc
	loops sync.WaitGroup
	done  bool
}

func newLeaseKeeper(e *Entry) *leaseKeeper {
	return &leaseKeeper{
		e:     e,
		kicks: map[string]chan struct{}{},
		stops: map[string]context.CancelFunc{},
	}
}

// sync starts and ends goroutines as instances come and go.
func (k *leaseKeeper) sync(state tmfleet.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	instances := state.Config().Instances()
	for name, stop := range k.stops {
		if !instances.Has(name) {
			stop()
			delete(k.stops, name)
			delete(k.kicks, name)
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
		kick := make(chan struct{}, 1)
		k.stops[name] = cancel
		k.kicks[name] = kick
		k.loops.Go(func() { k.keep(ctx, name, kick) })
	}
}

// kickEndpoint renews the lease at one endpoint at once.
func (k *leaseKeeper) kickEndpoint(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if kick, ok := k.kicks[name]; ok {
		poke(kick)
	}
}

func poke(kick chan struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}

// keep holds the lease at one endpoint until ctx ends.
func (k *leaseKeeper) keep(ctx context.Context, name string, kick chan struct{}) {
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
		case <-kick:
		}
	}
}

// renew makes one call: it takes, renews or gives back the lease.
func (k *leaseKeeper) renew(ctx context.Context, name string) {
	want, id, address := k.e.tables.wantedSlots(name)
	switch {
	case address == "":
	case id == "" && want > 0:
		k.call(name, func() (tmendpoint.Grant, error) {
			return k.e.endpoints.Lease(ctx, address, k.e.self.Incarnation(), want)
		})
	case id != "" && want == 0:
		// Released slots are free at once, instead of after the lease time.
		if err := k.e.endpoints.Release(ctx, address, id); err == nil || errors.Is(err, tmendpoint.ErrLeaseEnded) {
			k.e.tables.dropLease(name)
		}
	case id != "":
		k.call(name, func() (tmendpoint.Grant, error) {
			return k.e.endpoints.Renew(ctx, address, id, want)
		})
	}
}

func (k *leaseKeeper) call(name string, do func() (tmendpoint.Grant, error)) {
	sentAt := k.e.tables.renewalSent(name)
	grant, err := do()
	switch {
	case err == nil:
		k.e.tables.granted(name, sentAt, grant)
	case errors.Is(err, tmendpoint.ErrLeaseEnded):
		k.e.tables.dropLease(name)
		k.kickEndpoint(name)
	default:
		k.e.metrics.renewalErrors.Inc()
		k.e.tables.renewalFailed(name)
	}
}

// releaseAll ends all goroutines and gives back all leases.
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
			// The lease lapses by itself when the call fails.
			_ = k.e.endpoints.Release(ctx, l.instance.Address(), l.id)
		})
	}
	calls.Wait()
}

func (k *leaseKeeper) wait() {
	k.loops.Wait()
}

// wantedSlots returns the number of slots to lease at an endpoint, the present
// lease and the address. Slots in use are always wanted. The address is empty
// for an unknown instance.
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

// renewalSent notes the time at which a lease call is sent.
func (t *tables) renewalSent(name string) tmclock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.RenewalSent(name)
	return t.clock.Now()
}

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

// renewalFailed sets the endpoint aside until a renewal works again.
func (t *tables) renewalFailed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.leases[name]; ok && !l.failed && !l.valid(t.clock.Now()) {
		l.failed = true
		t.health.LeaseLost(name)
	}
	t.updateEndpointLocked(name)
}

func (t *tables) dropLease(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, name)
	t.updateEndpointLocked(name)
}

// takeLeases forgets all leases and returns them.
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

// updateEndpointLocked tells the picker what is known about an endpoint.
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
