package tmowner

import (
	"context"
	"time"

	"turmericmoor/core/tmcontrol"
)

// hedgeDelay is how long a start order may stay unanswered before the same order is sent
// a second time. Endpoints answer within a few milliseconds, and carry out an order only
// once. The retry budget keeps an owner that is itself too busy to read answers from
// sending twice the orders.
const hedgeDelay = 80 * time.Millisecond

// hedgedStart sends a start order, and sends it once more if no answer comes. A refusal
// counts only if no other order for the run may still be carried out.
func (o *Owner) hedgedStart(ctx context.Context, s tmcontrol.StartOrder) tmcontrol.Answer {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answers := make(chan tmcontrol.Answer, 2)
	send := func() { answers <- o.opts.Endpoints.Start(ctx, s) }
	o.recordStart()
	go send()
	outstanding, unanswered := 1, false
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if o.mayHedge() {
				outstanding++
				go send()
			}
		case a := <-answers:
			outstanding--
			unanswered = unanswered || a == tmcontrol.NoAnswer
			switch {
			case a.IsDefinite():
				return a
			case outstanding > 0:
			case unanswered:
				return tmcontrol.NoAnswer
			default:
				return a
			}
		}
	}
}

func (o *Owner) recordStart() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hedges.RecordRequest()
}

func (o *Owner) mayHedge() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hedges.AllowRetry()
}
