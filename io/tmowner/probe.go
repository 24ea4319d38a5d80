package tmowner

import (
	"context"
	"errors"
	"time"

	"turmericmoor/internal/tmwait"
)

// probeTimeout bounds one probe. An endpoint that is down may not answer at all, and the hold
// that is under way there lasts longer.
const probeTimeout = 60 * time.Millisecond

// probe calls an endpoint that doesn't answer, beside the hold that is under way there, until it
// answers or need not be probed any more.
func (o *Owner) probe(ctx context.Context, id string) {
	defer func() {
		o.mu.Lock()
		delete(o.probed, id)
		o.mu.Unlock()
	}()
	for ctx.Err() == nil {
		o.mu.Lock()
		h, interval, ok := o.ctl.NextProbe(id)
		o.mu.Unlock()
		if !ok {
			return
		}
		o.work.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			o.probeAnswered(id, o.callHold(callCtx, id, h))
		})
		tmwait.Pause(ctx, interval.Duration())
	}
}

// probeAnswered handles the result of a probe. The hold that is under way shows whether the
// endpoint is silent.
func (o *Owner) probeAnswered(id string, held heldRuns) {
	switch {
	case held.err == nil:
		o.holdAnswered(id, held)
		o.requestPlan()
	case errors.Is(held.err, ErrFenced):
		o.mu.Lock()
		o.ctl.HoldFenced(id, held.call)
		o.mu.Unlock()
	}
}
