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
	// orderTimeout bounds one order to an endpoint.
	orderTimeout = 800 * time.Millisecond
	// holdSlack is how much longer than its wait a hold may take.
	holdSlack = 700 * time.Millisecond
	// holdPause is the pause after a hold that brought ends, so that the ends
	// that follow gather. It grows by holdPauseEach for each endpoint, up to
	// maxHoldPause: a larger fleet has more calls to make.
	holdPause     = 20 * time.Millisecond
	holdPauseEach = 250 * time.Microsecond
	maxHoldPause  = 120 * time.Millisecond
	// holdRetry is the pause after a hold that failed.
	holdRetry = 150 * time.Millisecond
	// storedPause is how long a hold waits for ends to be stored.
	storedPause = 400 * time.Millisecond
	// adviceTimeout bounds a question to the placement policy.
	adviceTimeout = 2 * time.Second
)

func (o *Owner) sendStart(ctx context.Context, s tmcontrol.StartOrder) {
	a := o.timed(ctx, "start", orderTimeout, func(ctx context.Context) tmcontrol.Answer { return o.opts.Endpoints.Start(ctx, s) })
	now := o.opts.Clock.Now()
	o.mu.Lock()
	o.ctl.Started(s.Ref, a, now)
	o.mu.Unlock()
	if a != tmcontrol.Accepted {
		o.plan()
	}
}

func (o *Owner) sendStop(ctx context.Context, s tmcontrol.StopOrder) {
	a := o.timed(ctx, "stop", orderTimeout, func(ctx context.Context) tmcontrol.Answer { return o.opts.Endpoints.Stop(ctx, s) })
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.Stopped(s.Ref, a, now)
}

func (o *Owner) sendPace(ctx context.Context, p tmcontrol.PaceOrder) {
	a := o.timed(ctx, "pace", orderTimeout, func(ctx context.Context) tmcontrol.Answer { return o.opts.Endpoints.Pace(ctx, p) })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.Paced(p, a)
}

// timed makes a call with a time limit and observes how long it took.
func (o *Owner) timed(
	ctx context.Context, what string, limit time.Duration, call func(context.Context) tmcontrol.Answer,
) tmcontrol.Answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	a := call(ctx)
	o.observeAnswer(what, began, a)
	return a
}

func (o *Owner) observeAnswer(what string, began time.Time, a tmcontrol.Answer) {
	if o.opts.Observe == nil {
		return
	}
	var err error
	if a != tmcontrol.Accepted {
		err = errors.New(a.String())
	}
	o.opts.Observe(what, time.Since(began), err)
}

func (o *Owner) ask(ctx context.Context, q tmcontrol.AdviceRequest) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	asked := o.opts.Clock.Now()
	tickets, valid, err := o.advise(callCtx, q)
	if err != nil {
		o.note(tmevent.AdviceFailed, "step", q.Step, "cause", err.Error())
		tmwait.Pause(ctx, holdRetry)
	}
	o.mu.Lock()
	o.ctl.Advised(q, tickets, valid, asked)
	o.mu.Unlock()
	o.plan()
}

var errNoAdvisor = errors.New("tmowner: the settings name no placement policy")

func (o *Owner) advise(ctx context.Context, q tmcontrol.AdviceRequest) (map[string]string, tmclock.Span, error) {
	if o.opts.Advisor == nil {
		return nil, 0, errNoAdvisor
	}
	return o.opts.Advisor.Advise(ctx, q.Step, q.Endpoints)
}

// hold keeps the lease of one endpoint and brings in its runs and ends, until
// the controller has no more interest in it.
func (o *Owner) hold(ctx context.Context, id string) {
	defer func() {
		o.mu.Lock()
		delete(o.holding, id)
		o.mu.Unlock()
	}()
	for ctx.Err() == nil {
		sent := o.opts.Clock.Now()
		o.mu.Lock()
		h, ok := o.ctl.NextHold(id, sent)
		o.mu.Unlock()
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, h.Wait.Duration()+holdSlack)
		look, err := o.opts.Endpoints.Hold(callCtx, id, h)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			o.holdFailed(ctx, id, err)
			continue
		}
		stored := o.looked(id, look, sent)
		if len(look.Ended) > 0 {
			o.awaitStored(ctx, stored)
		}
	}
}

// looked passes a look on and returns the channel that the next stored flush
// closes.
func (o *Owner) looked(id string, look tmcontrol.HoldResponse, sent tmclock.Millis) <-chan struct{} {
	now := o.opts.Clock.Now()
	o.mu.Lock()
	news := o.ctl.HoldAnswered(id, look, sent, now)
	stored := o.storedCh
	o.mu.Unlock()
	if news {
		o.plan()
	}
	return stored
}

func (o *Owner) holdFailed(ctx context.Context, id string, err error) {
	o.mu.Lock()
	if errors.Is(err, ErrFenced) {
		o.ctl.OwnerFenced(id)
	} else {
		o.ctl.HoldFailed(id, err.Error())
	}
	o.mu.Unlock()
	o.plan()
	tmwait.Pause(ctx, holdRetry)
}

// awaitStored waits until a flush that may hold the newest ends is stored, but
// no longer than the lease can do without.
func (o *Owner) awaitStored(ctx context.Context, stored <-chan struct{}) {
	o.mu.Lock()
	gather := min(holdPause+time.Duration(len(o.holding))*holdPauseEach, maxHoldPause)
	o.mu.Unlock()
	if !tmwait.Pause(ctx, gather) {
		return
	}
	t := time.NewTimer(storedPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-stored:
	case <-t.C:
	}
}
