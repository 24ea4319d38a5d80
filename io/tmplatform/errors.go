package tmplatform

import (
	"errors"
	"fmt"
)

// ErrNotFound is returned for a row or an object that does not exist.
var ErrNotFound = errors.New("tmplatform: not found")

// ErrUnavailable is returned when the platform did not answer a read, or when
// a write certainly had no effect and never will: nothing was sent, or the
// platform answered 503 or 429.
var ErrUnavailable = errors.New("tmplatform: platform is unavailable")

// ErrUncertain is returned when a write may have taken effect or may still do
// so: the answer was lost, broken or late. The caller has to read back before
// it acts. A write that it does not find may still arrive later, unless the
// row that the write checks has been written again meanwhile.
var ErrUncertain = errors.New("tmplatform: the write may have taken effect")

// ErrRejected is returned when the platform or the client found a request
// malformed. It had no effect, and a retry has none either.
var ErrRejected = errors.New("tmplatform: request rejected")

// ConflictError says that a transaction had no effect because the row does not
// have the revision that was checked.
type ConflictError struct {
	Table string
	Key   string
	// Revision is the revision that the row has, 0 when it does not exist.
	Revision uint64
}

// Error names the row.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tmplatform: row %s/%s has revision %d", e.Table, e.Key, e.Revision)
}
