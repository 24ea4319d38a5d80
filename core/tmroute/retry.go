package tmroute

import (
	"math/rand/v2"

	"turmericmoor/core/tmclock"
)

// RetryBudget is a token bucket that keeps retries below a part of the
// requests.
type RetryBudget struct {
	tokens float64
}

const (
	// retryPart is the number of retries per request in the long run.
	retryPart = 0.1
	// retryBurst bounds the retries that can follow a quiet time.
	retryBurst = 20
)

// NewRetryBudget returns a RetryBudget that permits a single retry at first.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: 1} }

// Request counts a new request.
func (b *RetryBudget) Request() {
	b.tokens = min(b.tokens+retryPart, retryBurst)
}

// Retry reports whether a retry is within the budget, and counts it if so.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is an exponential back-off with jitter.
type Backoff struct {
	// Base is the delay after the first failure, Max bounds all delays.
	Base, Max tmclock.Span
}

// Delay returns the delay after the given number of earlier failures: between
// a half and the whole of Base*2^failures, at most Max. The jitter keeps
// entries that failed together from trying again together.
func (b Backoff) Delay(failures int, rng *rand.Rand) tmclock.Span {
	d := b.Base
	for i := 0; i < failures && d < b.Max; i++ {
		d *= 2
	}
	d = min(d, b.Max)
	half := d / 2
	return half + tmclock.Span(rng.Int64N(int64(d-half)+1))
}
