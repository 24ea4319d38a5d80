package tmonce

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
)

const (
	// maxAge is the age up to which a new request is looked up and accepted.
	maxAge = 10 * tmclock.Minute
	// maxAhead is how far the time in an id may be in the future.
	maxAhead = tmclock.Minute
	// maxStartAge is the age up to which a request may be sent after its row
	// was committed. It lies between maxAge and keepFor by more than the skew
	// of two wall clocks, so that a row created after a long pause can't
	// follow the deletion of an earlier row with the same id.
	maxStartAge = 14 * tmclock.Minute
	// keepFor is how long after the time in the id a row is kept.
	keepFor = 15 * tmclock.Minute
)

// Errors about a request id. IDError wraps one of them.
var (
	ErrMalformed    = errors.New("not a UUID")
	ErrWrongVersion = errors.New("not a UUID of version 7")
	ErrTooOld       = errors.New("the time in the id is too old")
	ErrTooFarAhead  = errors.New("the time in the id is too far in the future")
)

// IDError says why a request id was refused.
type IDError struct {
	id     string
	reason error
}

// Error returns the reason with the id and what would be accepted.
func (e *IDError) Error() string {
	return fmt.Sprintf("tmonce: request id %q: %v; expected a UUIDv7 at most %v old and %v ahead",
		e.id, e.reason, maxAge.Duration(), maxAhead.Duration())
}

// Unwrap returns the sentinel error.
func (e *IDError) Unwrap() error { return e.reason }

// Outcome returns what may be told to the caller. An old id may belong to a
// request whose row is already deleted, and one that is too far ahead here may
// have been accepted by an entry whose clock is ahead, so both are Unknown.
func (e *IDError) Outcome() Outcome {
	if errors.Is(e.reason, ErrTooOld) || errors.Is(e.reason, ErrTooFarAhead) {
		return Unknown
	}
	return NotRun
}

// ID is a request id with a time in it.
type ID struct {
	u uuid.UUID
}

// ParseID returns the ID in its text form. The error is an *IDError.
func ParseID(text string) (ID, error) {
	u, err := uuid.Parse(text)
	if err != nil {
		return ID{}, &IDError{id: text, reason: ErrMalformed}
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return ID{}, &IDError{id: text, reason: ErrWrongVersion}
	}
	return ID{u: u}, nil
}

// NewID returns an ID with the present time of the machine.
func NewID() (ID, error) {
	u, err := uuid.NewV7()
	if err != nil {
		return ID{}, fmt.Errorf("tmonce: new request id: %w", err)
	}
	return ID{u: u}, nil
}

// String returns the canonical lower-case form.
func (id ID) String() string { return id.u.String() }

// Time returns the time in the id, in milliseconds since the Unix epoch.
func (id ID) Time() tmclock.Millis {
	var ms tmclock.Millis
	for _, b := range id.u[:6] {
		ms = ms<<8 | tmclock.Millis(b)
	}
	return ms
}

// CheckAge reports whether a request with this id may be looked up and have
// its row created at the wall time now. It has to be called on arrival and
// again immediately before the creation is added to a Batch. The error is an
// *IDError.
func (id ID) CheckAge(now tmclock.Millis) error {
	if now.Sub(id.Time()) > maxAge {
		return &IDError{id: id.String(), reason: ErrTooOld}
	}
	if id.Time().Sub(now) > maxAhead {
		return &IDError{id: id.String(), reason: ErrTooFarAhead}
	}
	return nil
}

// CheckStart reports whether a request whose row is known to be committed may
// be sent at the wall time now. An entry that was paused for minutes between
// CheckAge and the commit may have created the row after an earlier row with
// the same id was deleted; it must not send. The error is an *IDError.
func (id ID) CheckStart(now tmclock.Millis) error {
	if now.Sub(id.Time()) > maxStartAge {
		return &IDError{id: id.String(), reason: ErrTooOld}
	}
	return nil
}

// RowKey returns the key of the request's row. Keys sort by the minute of the
// id.
func (id ID) RowKey(team string) string {
	return minutePrefix(minuteOf(id.Time())) + url.PathEscape(team) + "/" + id.String()
}

func minuteOf(t tmclock.Millis) int64 {
	return int64(t) / int64(tmclock.Minute)
}

func minutePrefix(minute int64) string {
	return fmt.Sprintf("%09d/", minute)
}
