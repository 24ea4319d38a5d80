// Package tmclock has the types for points in time and durations and the clocks
// that the rest of turmericmoor uses. All values are whole milliseconds.
//
// Code that depends on the time takes a Clock, so that tests and simulations can
// use a Manual clock.
package tmclock

import (
	"strconv"
	"sync"
	"time"
)

// Millis is a point in time in milliseconds. Its origin depends on the clock:
// for System it is the start of the process, so values of two processes can't
// be compared.
type Millis int64

// Span is a duration in milliseconds.
type Span int64

// Common spans.
const (
	Millisecond Span = 1
	Second      Span = 1000
	Minute      Span = 60 * Second
	Hour        Span = 60 * Minute
)

// Add returns the point in time that is d after t.
func (t Millis) Add(d Span) Millis {
	return t + Millis(d)
}

// Sub returns the time from u to t.
func (t Millis) Sub(u Millis) Span {
	return Span(t - u)
}

// Before reports whether t is earlier than u.
func (t Millis) Before(u Millis) bool {
	return t < u
}

// After reports whether t is later than u.
func (t Millis) After(u Millis) bool {
	return t > u
}

// Duration returns d as a time.Duration.
func (d Span) Duration() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// String returns d with its unit, for example "1500ms".
func (d Span) String() string {
	return strconv.FormatInt(int64(d), 10) + "ms"
}

// SpanOf returns d in milliseconds, rounded towards zero.
func SpanOf(d time.Duration) Span {
	return Span(d / time.Millisecond)
}

// Clock tells the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time. It never decreases.
	Now() Millis
}

// System is a Clock based on the monotonic clock of the machine.
type System struct {
	start time.Time
}

// NewSystem returns a System clock that starts at 1 ms, so that a zero Millis
// can stand for "never".
func NewSystem() *System {
	return &System{start: time.Now().Add(-time.Millisecond)}
}

// Now returns the milliseconds since the clock was created, plus 1.
func (c *System) Now() Millis {
	return Millis(time.Since(c.start) / time.Millisecond)
}

// Wall returns the wall clock time in milliseconds since the Unix epoch. Wall
// clocks of two machines differ, so the value is only good for the aging of
// records.
func Wall() Millis {
	return Millis(time.Now().UnixMilli())
}

// Manual is a Clock for tests and simulations that only moves when Advance is
// called. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Millis
}

// NewManual returns a Manual clock that is set to start.
func NewManual(start Millis) *Manual {
	return &Manual{now: start}
}

// Now returns the time to which the clock is set.
func (c *Manual) Now() Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d. A negative d leaves it unchanged.
func (c *Manual) Advance(d Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d > 0 {
		c.now = c.now.Add(d)
	}
}
