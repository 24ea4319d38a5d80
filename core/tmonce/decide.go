package tmonce

import "strconv"

// OwnerStatus is the status of a request at its owner, the entry that created
// its row.
type OwnerStatus int

// The statuses of a request at its owner. OwnerUnknown means that the owner did
// not answer, or that it is live and no longer knows the request. OwnerProcessing
// means that the owner has the request queued or running.
const (
	OwnerUnknown OwnerStatus = iota
	OwnerProcessing
)

// Decision is how to handle a request whose id was chosen by the caller.
type Decision int

// The decisions.
const (
	// Start means that no row exists; create it, then send the request.
	Start Decision = iota
	// Send means that this claim created the row; send the request.
	Send
	// Replay means that the request is done; return the recorded outcome and
	// answer.
	Replay
	// InProgress means that a live entry has the request queued or running.
	InProgress
	// ReportUnknown means that the request was started and its outcome is not
	// known.
	ReportUnknown
	// IDReused means that the id belongs to a request with different content.
	IDReused
)

var decisionNames = [...]string{"start", "send", "replay", "in_progress", "unknown", "id_reused"}

// String returns the snake_case name.
func (d Decision) String() string {
	if d < 0 || int(d) >= len(decisionNames) {
		return "decision_" + strconv.Itoa(int(d))
	}
	return decisionNames[d]
}

// Decide returns how to handle a request with the given digest, from the row
// under its key. The owner status matters only if the row's state is Started.
// The row may become Done between its read and the owner's answer, so a caller
// that gets ReportUnknown from a live owner must read the row once more.
func Decide(existing Record, found bool, digest Digest, owner OwnerStatus) Decision {
	switch {
	case !found:
		return Start
	case existing.digest != digest:
		return IDReused
	case existing.state == Done:
		return Replay
	case owner == OwnerProcessing:
		return InProgress
	default:
		return ReportUnknown
	}
}

// ResolveConflict returns how to handle a request whose creation by c conflicted
// with an existing row. The row may have been created by c itself: a transaction
// whose answer was lost may take effect after a read that did not find the row.
// The decision is then Send.
func (c Claim) ResolveConflict(existing Record, found bool, digest Digest, owner OwnerStatus) Decision {
	if found && existing.claim == c && existing.state == Started {
		return Send
	}
	return Decide(existing, found, digest, owner)
}
