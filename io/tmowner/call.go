package tmowner

import (
	"context"
	"errors"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
)

const (
	// orderTimeout bounds one start, stop or pace call to an endpoint.
	orderTimeout = 800 * time.Millisecond
	// holdTimeoutMargin is added to the time that an endpoint may take to answer a
	// hold, a long poll, to get the timeout of the call.
	holdTimeoutMargin = 700 * time.Millisecond
	// holdBatchDelay is the pause after a hold that returned ended runs. It lets the
	// runs that end during the pause arrive in one batch with the next hold. The
	// pause grows by holdBatchDelayPerEndpoint for each endpoint under a hold, up to
	// maxHoldBatchDelay, because a larger fleet needs more calls.
	holdBatchDelay            = 20 * time.Millisecond
	holdBatchDelayPerEndpoint = 250 * time.Microsecond
	maxHoldBatchDelay         = 120 * time.Millisecond
	// retryDelay is the pause after a failed hold or advice request.
	retryDelay = 150 * time.Millisecond
	// storedTimeout bounds the wait for ended runs to be stored before the next
	// hold.
	storedTimeout = 400 * time.Millisecond
	// adviceTimeout bounds one request to the placement policy.
	adviceTimeout = 2 * time.Second
)

// sendStart sends a start order to the lifetime of an endpoint that lifetimeCtx belongs to.
func (o *Owner) sendStart(ctx, lifetimeCtx context.Context, s tmcontrol.StartOrder) {
	began := time.Now()
	a := o.hedgedStart(lifetimeCtx, s)
	o.observeAnswer("start", began, a)
	now := o.opts.Clock.Now()
	o.mu.Lock()
	o.ctl.Started(s.Ref, a, now)
	if a == tmcontrol.Accepted {
		o.startAccepted(s.Ref.Endpoint, now)
	}
	isolated := a == tmcontrol.Accepted && o.ctl.IsIsolated(s.Ref.Endpoint)
	o.mu.Unlock()
	if isolated {
		o.work.Go(func() { o.listIsolated(ctx, s.Ref.Endpoint) })
	}
	if a != tmcontrol.Accepted {
		o.requestPlan()
	}
}

func (o *Owner) sendStop(ctx context.Context, s tmcontrol.StopOrder) {
	a := o.timedCall(ctx, "stop", orderTimeout, func(ctx context.Context) tmcontrol.Answer { return o.opts.Endpoints.Stop(ctx, s) })
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.Stopped(s.Ref, a, now)
}

// sendPace tells an endpoint at what percentage of its full speed a task may work.
func (o *Owner) sendPace(ctx context.Context, p tmcontrol.PaceOrder) {
	a := o.timedCall(ctx, "pace", orderTimeout, func(ctx context.Context) tmcontrol.Answer { return o.opts.Endpoints.Pace(ctx, p) })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.Paced(p, a)
}

// timedCall makes a call with a timeout and passes the duration of the call to
// Observe.
func (o *Owner) timedCall(
	ctx context.Context, op string, limit time.Duration, call func(context.Context) tmcontrol.Answer,
) tmcontrol.Answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	a := call(ctx)
	o.observeAnswer(op, began, a)
	return a
}

func (o *Owner) observeAnswer(op string, began time.Time, a tmcontrol.Answer) {
	if o.opts.Observe == nil {
		return
	}
	var err error
	if a != tmcontrol.Accepted {
		err = errors.New(a.String())
	}
	o.opts.Observe(op, time.Since(began), err)
}

// requestAdvice asks the placement policy about one step after another, until none waits for a ticket.
func (o *Owner) requestAdvice(ctx context.Context, q tmcontrol.AdviceRequest) {
	for more := true; more; {
		q, more = o.requestNextAdvice(ctx, q)
		o.requestPlan()
	}
}

// requestNextAdvice sends a request to the placement policy and returns the next one, if there is any.
func (o *Owner) requestNextAdvice(ctx context.Context, q tmcontrol.AdviceRequest) (tmcontrol.AdviceRequest, bool) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	a := tmcontrol.AdviceAnswer{AskedAt: o.opts.Clock.Now()}
	var err error
	a.Tickets, a.Validity, err = o.advise(callCtx, q)
	if err != nil {
		o.emit(tmevent.AdviceFailed, "step", q.Step, "cause", err.Error())
		tmwait.Pause(ctx, retryDelay)
		a.Failed = true
	}
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.Advised(q, a, now)
	if ctx.Err() != nil {
		return tmcontrol.AdviceRequest{}, false
	}
	return o.ctl.NextAdviceRequest(now)
}

var errNoPlacementPolicy = errors.New("tmowner: no placement policy is configured")

func (o *Owner) advise(ctx context.Context, q tmcontrol.AdviceRequest) (map[string]string, tmclock.Span, error) {
	if o.opts.Advisor == nil {
		return nil, 0, errNoPlacementPolicy
	}
	return o.opts.Advisor.Advise(ctx, q.Step, q.Endpoints)
}

// listIsolated asks an endpoint on which a suspect has just started for its runs, beside
// the hold that is under way there, so that its isolation ends soon.
func (o *Owner) listIsolated(ctx context.Context, id string) {
	if !tmwait.Pause(ctx, tmcontrol.MinWorkTime.Duration()) {
		return
	}
	o.mu.Lock()
	h, ok := o.ctl.ListRequest(id)
	o.mu.Unlock()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, holdTimeoutMargin)
	defer cancel()
	o.probeAnswered(id, o.callHold(callCtx, id, h))
}

// hold renews the lease of one endpoint and collects its active and ended runs,
// until the controller no longer wants the endpoint held.
func (o *Owner) hold(ctx context.Context, id string) {
	defer func() {
		o.mu.Lock()
		delete(o.held, id)
		delete(o.overdue, id)
		o.endLifetimes([]string{id})
		o.mu.Unlock()
	}()
	for ctx.Err() == nil {
		now := o.opts.Clock.Now()
		o.mu.Lock()
		if c := o.confirmed.Load(); c != nil {
			o.ctl.OwnershipConfirmed(c.at)
		}
		h, ok := o.ctl.NextHold(id, now)
		lifetimeCtx := o.lifetimeContext(ctx, id)
		o.mu.Unlock()
		if !ok {
			return
		}
		held := o.hedgedHold(lifetimeCtx, id, h)
		if ctx.Err() != nil {
			return
		}
		if held.err != nil && lifetimeCtx.Err() != nil {
			// The next hold is for the next lifetime.
			continue
		}
		if held.err != nil {
			o.holdFailed(ctx, id, held)
			continue
		}
		if stored, ends := o.holdAnswered(id, held); ends {
			o.awaitStored(ctx, stored)
		}
	}
}

// holdAnswered passes the response of a hold to the controller. It returns the
// channel that is closed when the next flush is stored, and whether ends of the endpoint
// wait for that.
func (o *Owner) holdAnswered(id string, held heldRuns) (<-chan struct{}, bool) {
	now := o.opts.Clock.Now()
	o.lockForStarts()
	changed := o.ctl.HoldAnswered(id, held.response, held.call, now)
	stored, ends := o.storedCh, o.ctl.HasUnstoredEnds(id)
	o.mu.Unlock()
	if changed {
		o.requestPlan()
	}
	return stored, ends
}

func (o *Owner) holdFailed(ctx context.Context, id string, held heldRuns) {
	o.mu.Lock()
	if errors.Is(held.err, ErrFenced) {
		o.ctl.HoldFenced(id, held.call)
	} else {
		o.ctl.HoldFailed(id, held.err.Error(), o.opts.Clock.Now())
	}
	o.mu.Unlock()
	o.requestPlan()
	tmwait.Pause(ctx, retryDelay)
}

// awaitStored pauses so that further ended runs join the batch, then waits until a
// flush that may contain the newest ended runs is stored. Both waits are bounded,
// because the next hold has to renew the lease in time.
func (o *Owner) awaitStored(ctx context.Context, stored <-chan struct{}) {
	o.mu.Lock()
	batchDelay := min(holdBatchDelay+time.Duration(len(o.held))*holdBatchDelayPerEndpoint, maxHoldBatchDelay)
	o.mu.Unlock()
	if !tmwait.Pause(ctx, batchDelay) {
		return
	}
	t := time.NewTimer(storedTimeout)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-stored:
	case <-t.C:
	}
}
