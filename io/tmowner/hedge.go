package tmowner

import (
	"context"
	"errors"
	"slices"
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
// up to the first one that settles the matter, and the channel on which the results of the
// calls arrive that are still under way.
func hedged[T any](
	work *sync.WaitGroup, delay time.Duration, later <-chan time.Duration, allow func() bool, call func(attempt int) T, settles func(T) bool,
) ([]T, underWay[T]) {
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
				return all, underWay[T]{n: outstanding, results: results}
			}
		}
	}
}

// underWay are n calls that have no result yet.
type underWay[T any] struct {
	n       int
	results <-chan T
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

// hedgedStart sends a start order, and sends it once more if no answer comes. A lifetime of
// an endpoint carries out an order only once. A refusal counts only if no other send of the
// order may still be carried out.
func (o *Owner) hedgedStart(ctx context.Context, s tmcontrol.StartOrder) tmcontrol.Answer {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	o.startHedges.recordCall()
	answers, rest := hedged(&o.work, startHedgeDelay, nil, func() bool { return o.repeatStart(s.Ref) },
		func(int) tmcontrol.Answer { return o.opts.Endpoints.Start(ctx, s) }, tmcontrol.Answer.IsDefinite)
	o.work.Go(func() {
		defer cancel()
		for range rest.n {
			o.sendAnswered(s.Ref, <-rest.results)
		}
	})
	decisive := decisiveAnswer(answers)
	for i, a := range answers {
		if i != decisive {
			o.sendAnswered(s.Ref, a)
		}
	}
	return answers[decisive]
}

// decisiveAnswer returns the index of the answer that tells most about a start order: the last
// one, unless another send may still be carried out.
func decisiveAnswer(answers []tmcontrol.Answer) int {
	last := len(answers) - 1
	if i := slices.IndexFunc(answers, tmcontrol.Answer.IsUnknown); i >= 0 && !answers[last].IsDefinite() {
		return i
	}
	return last
}

// repeatStart reports whether a start order may be sent a second time, and records it.
func (o *Owner) repeatStart(ref tmcontrol.RunRef) bool {
	if !o.startHedges.allow() {
		return false
	}
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctl.StartRepeated(ref, now)
}

// sendAnswered passes the answer to one of two sends of a start order on.
func (o *Owner) sendAnswered(ref tmcontrol.RunRef, a tmcontrol.Answer) {
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.SendAnswered(ref, a, now)
}

// heldRuns is the result of a hold.
type heldRuns struct {
	response tmcontrol.HoldResponse
	call     tmcontrol.HoldCall
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
	results, _ := hedged(&o.work, h.Overdue.Duration(), o.awaitOverdue(id, h), o.holdHedges.allow, func(attempt int) heldRuns {
		req := h
		if attempt > 1 {
			// The answer may be overdue because the endpoint has restarted.
			req = req.WithoutAcks()
		}
		return o.callHold(ctx, id, req)
	}, heldRuns.isSettled)
	return results[len(results)-1]
}

// callHold makes a hold call.
func (o *Owner) callHold(ctx context.Context, id string, h tmcontrol.HoldRequest) heldRuns {
	call := tmcontrol.HoldCall{SentAt: o.opts.Clock.Now(), Token: h.Token}
	response, err := o.opts.Endpoints.Hold(ctx, id, h)
	return heldRuns{response: response, call: call, err: err}
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
