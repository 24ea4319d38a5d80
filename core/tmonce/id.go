package tmonce

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
)

const (
	// maxAge is the maximum age of the id of a new request.
	maxAge = 10 * tmclock.Minute
	// maxAhead is the maximum time by which an id may lie in the future.
	maxAhead = tmclock.Minute
	// maxSendAge is the maximum age of an id at which a request may be sent after
	// its row was committed. It is larger than maxAge and smaller than rowRetention,
	// in both cases by more than the skew of two wall clocks. Without these margins
	// an entry that was paused for long could create a row after an earlier row
	// with the same id was deleted, and then send the request a second time.
	maxSendAge = 14 * tmclock.Minute
	// rowRetention is how long a row is kept, counted from the time in its id.
	rowRetention = 15 * tmclock.Minute
)

// The reasons for which a request id is refused. IDError wraps one of them.
var (
	ErrMalformed    = errors.New("not a UUID")
	ErrWrongVersion = errors.New("not a UUID of version 7")
	ErrTooOld       = errors.New("the time in the id is too old")
	ErrTooFarAhead  = errors.New("the time in the id is too far in the future")
)

// IDError reports a request id that was refused.
type IDError struct {
	id     string
	reason error
}

// Error returns the id, the reason, and which ids are accepted.
func (e *IDError) Error() string {
	return fmt.Sprintf("tmonce: request id %q: %v; expected a UUIDv7 at most %v old and %v ahead",
		e.id, e.reason, maxAge.Duration(), maxAhead.Duration())
}

// Unwrap returns the reason, one of the sentinel errors.
func (e *IDError) Unwrap() error { return e.reason }

// Outcome returns the outcome that may be reported to the caller. It is Unknown
// for an id that is too old, since the row of the request may already be deleted,
// and for an id too far in the future, since an entry whose clock is ahead may
// have accepted the request.
func (e *IDError) Outcome() Outcome {
	if errors.Is(e.reason, ErrTooOld) || errors.Is(e.reason, ErrTooFarAhead) {
		return Unknown
	}
	return NotRun
}

// ID is a request id, a UUID of version 7, which contains its creation time.
type ID struct {
	u uuid.UUID
}

// ParseID parses the text form of an ID. The error is an *IDError.
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

// NewID returns a new ID with the current wall time of the machine.
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

// CheckAge returns an *IDError unless a request with this id may be looked up and
// have its row created at the wall time now. It must be called on arrival and
// again immediately before the creation is added to a Batch.
func (id ID) CheckAge(now tmclock.Millis) error {
	if now.Sub(id.Time()) > maxAge {
		return &IDError{id: id.String(), reason: ErrTooOld}
	}
	if id.Time().Sub(now) > maxAhead {
		return &IDError{id: id.String(), reason: ErrTooFarAhead}
	}
	return nil
}

// CheckSend returns an *IDError unless a request whose row is known to be
// committed may be sent at the wall time now. It guards against a pause of several
// minutes between CheckAge and the commit: the entry may then have created the row
// after an earlier row with the same id was deleted, so the request may have run.
func (id ID) CheckSend(now tmclock.Millis) error {
	if now.Sub(id.Time()) > maxSendAge {
		return &IDError{id: id.String(), reason: ErrTooOld}
	}
	return nil
}

// RowKey returns the key of the request's row. Keys sort by the minute of the
// time in the id, so that expired rows form a key range.
func (id ID) RowKey(team string) string {
	return minutePrefix(minuteOf(id.Time())) + url.PathEscape(team) + "/" + id.String()
}

func minuteOf(t tmclock.Millis) int64 {
	return int64(t) / int64(tmclock.Minute)
}

func minutePrefix(minute int64) string {
	return fmt.Sprintf("%09d/", minute)
}
