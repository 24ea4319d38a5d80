package tmonce

import "strconv"

// Owner is what is known about the entry that created a row.
type Owner int

// The answers of the owner. A live owner that no longer knows the request, and
// a lost answer, both count as OwnerSilent.
const (
	OwnerSilent Owner = iota
	OwnerBusy
)

// Decision says what to do with a request that has a caller's id.
type Decision int

// The decisions.
const (
	// Start means that no row exists: create it, then send.
	Start Decision = iota
	// Send means that the row was created by this very claim.
	Send
	// Replay means that the recorded outcome and answer are returned.
	Replay
	// InProgress means that a live entry has the request queued or running.
	InProgress
	// ReportUnknown means that the request was started and its end is not
	// known.
	ReportUnknown
	// Reused means that the id belongs to a request with other content.
	Reused
)

var decisionNames = [...]string{"start", "send", "replay", "in_progress", "unknown", "id_reused"}

// String returns the snake_case name.
func (d Decision) String() string {
	if d < 0 || int(d) >= len(decisionNames) {
		return "decision_" + strconv.Itoa(int(d))
	}
	return decisionNames[d]
}

// Decide judges a request with the given digest by the row under its key. The
// owner matters only when the row's state is Started. The row may turn Done
// between its read and the owner's answer, so a caller that gets
// ReportUnknown from a live owner reads the row once more.
func Decide(existing Record, found bool, digest Digest, owner Owner) Decision {
	switch {
	case !found:
		return Start
	case existing.digest != digest:
		return Reused
	case existing.state == Done:
		return Replay
	case owner == OwnerBusy:
		return InProgress
	default:
		return ReportUnknown
	}
}

// Settle judges the row that a creation of c met. A transaction whose answer
// was lost may take effect after a read did not find it, so the row may be
// the claim's own, which then sends.
func (c Claim) Settle(existing Record, found bool, digest Digest, owner Owner) Decision {
	if found && existing.claim == c && existing.state == Started {
		return Send
	}
	return Decide(existing, found, digest, owner)
}
