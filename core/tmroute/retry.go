package tmroute

import (
	"math/rand/v2"

	"turmericmoor/core/tmclock"
)

// RetryBudget is a token bucket that limits retries to a fraction of the
// requests.
type RetryBudget struct {
	tokens float64
}

const (
	// retryRatio is the long-term limit of retries per request.
	retryRatio = 0.1
	// retryBurst is the capacity of the bucket: the retries allowed in a burst.
	retryBurst = 20
)

// NewRetryBudget returns a RetryBudget that initially allows a single retry.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: 1} }

// RecordRequest adds the tokens for a new request to the bucket.
func (b *RetryBudget) RecordRequest() {
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// AllowRetry reports whether a retry is within the budget, and takes a token if
// it is.
func (b *RetryBudget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	// Base is the delay after the first failure, Max the upper limit of all
	// delays.
	Base, Max tmclock.Span
}

// Delay returns the delay after the given number of earlier failures: a random
// value between half and all of min(Base*2^failures, Max). The jitter keeps
// entries that failed at the same time from retrying at the same time.
func (b Backoff) Delay(failures int, rng *rand.Rand) tmclock.Span {
	d := b.Base
	for i := 0; i < failures && d < b.Max; i++ {
		d *= 2
	}
	d = min(d, b.Max)
	half := d / 2
	return half + tmclock.Span(rng.Int64N(int64(d-half)+1))
}
