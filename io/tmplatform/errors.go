package tmplatform

import (
	"errors"
	"fmt"
)

// ErrNotFound is returned if the row or object does not exist.
var ErrNotFound = errors.New("tmplatform: not found")

// ErrUnavailable is returned if a read got no usable response, or if a write had
// no effect and never will have one: it was not sent, or the platform responded
// with status 503 or 429.
var ErrUnavailable = errors.New("tmplatform: platform is unavailable")

// ErrUncertain is returned if a write may have taken effect or may still take
// effect: the response was lost, malformed or late. The caller has to read the row
// back before it acts. If the row does not show the write, the write may still
// arrive later. That is ruled out only once a row whose revision the write checks
// has been written again.
var ErrUncertain = errors.New("tmplatform: the write may have taken effect")

// ErrRejected is returned if the platform or the client found the request
// invalid. The request had no effect, and a retry would fail in the same way.
var ErrRejected = errors.New("tmplatform: request rejected")

// ConflictError means that a transaction had no effect because a row does not
// have the revision that the transaction checks.
type ConflictError struct {
	Table string
	Key   string
	// Revision is the actual revision of the row, or 0 if it does not exist.
	Revision uint64
}

// Error returns a message that names the row and its actual revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tmplatform: row %s/%s has revision %d", e.Table, e.Key, e.Revision)
}
