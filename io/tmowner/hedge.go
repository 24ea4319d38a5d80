package tmowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmroute"
)

// startHedgeDelay is how long a start order may stay unanswered before the same order is
// sent a second time. Endpoints answer within a few milliseconds.
const startHedgeDelay = 80 * time.Millisecond

// hedged makes a call in a goroutine of work, and makes it a second time if there is no
// result after delay and allow permits it. A delay of 0 means no second call, unless a
// delay arrives from later. hedged returns the results in the order in which they arrived,
// up to the first one that settles the matter.
func hedged[T any](
	work *sync.WaitGroup, delay time.Duration, later <-chan time.Duration, allow func() bool, call func(attempt int) T, settles func(T) bool,
) []T {
	results := make(chan T, 2)
	work.Go(func() { results <- call(1) })
	outstanding := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	if delay == 0 {
		timer.Stop()
	}
	var all []T
	for {
		select {
		case d := <-later:
			timer.Reset(d)
			later = nil
		case <-timer.C:
			later = nil
			if allow() {
				outstanding++
				work.Go(func() { results <- call(2) })
			}
		case r := <-results:
			outstanding--
			all = append(all, r)
			if settles(r) || outstanding == 0 {
				return all
			}
		}
	}
}

// hedgeBudget limits second calls to a fraction of all calls of one kind. It keeps an
// owner that is itself too busy to read answers from making twice the calls. It is safe
// for concurrent use.
type hedgeBudget struct {
	mu     sync.Mutex
	budget *tmroute.RetryBudget
}

func newHedgeBudget() *hedgeBudget { return &hedgeBudget{budget: tmroute.NewRetryBudget()} }

func (b *hedgeBudget) recordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
}

func (b *hedgeBudget) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.AllowRetry()
}

// hedgedStart sends a start order, and sends it once more if no answer comes. An endpoint
// carries out an order only once. A refusal counts only if no other order for the run
// may still be carried out.
func (o *Owner) hedgedStart(ctx context.Context, s tmcontrol.StartOrder) tmcontrol.Answer {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.startHedges.recordCall()
	answers := hedged(&o.work, startHedgeDelay, nil, o.startHedges.allow,
		func(int) tmcontrol.Answer { return o.opts.Endpoints.Start(ctx, s) }, tmcontrol.Answer.IsDefinite)
	last := answers[len(answers)-1]
	if !last.IsDefinite() {
		for _, a := range answers {
			if a == tmcontrol.NoAnswer {
				return a
			}
		}
	}
	return last
}

// heldRuns is the result of a hold that was sent at sentAt.
type heldRuns struct {
	response tmcontrol.HoldResponse
	sentAt   tmclock.Millis
	err      error
}

// isSettled reports whether a second call would bring nothing new.
func (h heldRuns) isSettled() bool {
	return h.err == nil || errors.Is(h.err, ErrFenced) || errors.Is(h.err, ErrOtherEndpoint)
}

// hedgedHold makes a hold call, and makes it once more if the answer is overdue.
func (o *Owner) hedgedHold(ctx context.Context, id string, h tmcontrol.HoldRequest) heldRuns {
	ctx, cancel := context.WithTimeout(ctx, h.Wait.Duration()+holdTimeoutMargin)
	defer cancel()
	o.holdHedges.recordCall()
	results := hedged(&o.work, h.Overdue.Duration(), o.awaitOverdue(id, h), o.holdHedges.allow, func(attempt int) heldRuns {
		req := h
		if attempt > 1 {
			// The answer may be overdue because the endpoint has restarted.
			req = req.WithoutAcks()
		}
		sentAt := o.opts.Clock.Now()
		response, err := o.opts.Endpoints.Hold(ctx, id, req)
		return heldRuns{response: response, sentAt: sentAt, err: err}
	}, heldRuns.isSettled)
	return results[len(results)-1]
}

// awaitOverdue returns the channel on which startAccepted tells when the answer to a hold
// is overdue after all, or nil if that is known already.
func (o *Owner) awaitOverdue(id string, h tmcontrol.HoldRequest) <-chan time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if h.Overdue > 0 {
		delete(o.overdue, id)
		return nil
	}
	ch := make(chan time.Duration, 1)
	o.overdue[id] = ch
	return ch
}

// startAccepted tells a hold that was sent while its endpoint had no run that would end
// soon when its answer is overdue. The caller holds mu.
func (o *Owner) startAccepted(id string, now tmclock.Millis) {
	ch := o.overdue[id]
	if ch == nil {
		return
	}
	if overdue := o.ctl.HoldOverdue(id, now); overdue > 0 {
		ch <- overdue.Duration()
		delete(o.overdue, id)
	}
}
