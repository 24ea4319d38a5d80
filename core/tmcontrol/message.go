package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// RunRef names a run for the caller of a command, who returns it with the
// answer.
type RunRef struct {
	Task     tmjob.TaskID
	Run      int
	Endpoint string
	// SentAt tells a late answer from the answer to a newer order.
	SentAt tmclock.Millis
}

// StartOrder tells an endpoint to start a task.
type StartOrder struct {
	Ref     RunRef
	Address string
	Spec    string
	// Until is the end of the lease on the endpoint's clock in milliseconds.
	Until  int64
	Token  int64
	Saved  string
	Ticket string
}

// StopOrder tells an endpoint to stop a task.
type StopOrder struct {
	Ref     RunRef
	Address string
	Token   int64
}

// PaceOrder tells an endpoint at what share a task may work, in percent.
type PaceOrder struct {
	Ref     RunRef
	Address string
	Percent int
	Token   int64
}

// Answer is the outcome of an order to an endpoint.
type Answer int

// Answers.
const (
	// Accepted: the order was carried out, or had been before.
	Accepted Answer = iota
	// Fenced: the endpoint has seen a higher fencing token.
	Fenced
	// Superseded: this run or a later one ended or was stopped there.
	Superseded
	// TooLate: the lease of the order had lapsed on arrival.
	TooLate
	// NoRoom: the endpoint has no room.
	NoRoom
	// BadTicket: the placement policy does not permit it.
	BadTicket
	// OtherLife: the endpoint at the address is another one.
	OtherLife
	// Unhealthy: the endpoint refused and did nothing.
	Unhealthy
	// Refused: the order was malformed to the endpoint.
	Refused
	// NotSent: the order surely did not arrive.
	NotSent
	// NoAnswer: the order may be carried out, also later.
	NoAnswer
)

var answerNames = [...]string{
	"accepted", "fenced", "superseded", "too_late", "no_room", "bad_ticket",
	"other_life", "unhealthy", "refused", "not_sent", "no_answer",
}

// String returns the name of the answer in logs.
func (a Answer) String() string { return answerNames[a] }

// End says how a run ended.
type End int

// Ways in which a run ends.
const (
	// EndDone: the task is complete.
	EndDone End = iota
	// EndFailed: the run failed, through its own fault or the endpoint's.
	EndFailed
	// EndStopped: an order stopped it.
	EndStopped
	// EndLapsed: its lease lapsed.
	EndLapsed
	// EndBroken: another member of its gang ended.
	EndBroken
	// EndAlone: its gang did not come together in time.
	EndAlone
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the end in logs.
func (e End) String() string { return endNames[e] }

// Active is a task that an endpoint runs.
type Active struct {
	Task    tmjob.TaskID
	Run     int
	Saved   string
	Percent int
	// Usage is the tail of the response times in milliseconds for a task that
	// serves users, and processor use in thousandths of a core for others.
	Usage int64
}

// Ended is a run that ended at an endpoint.
type Ended struct {
	// Number counts the ends of the endpoint's lifetime from 1.
	Number int64
	Task   tmjob.TaskID
	Run    int
	How    End
	Saved  string
}

// Look is what an endpoint reports of its runs.
type Look struct {
	// Clock is the endpoint's clock in milliseconds.
	Clock int64
	// Born is the start of its lifetime in milliseconds since the Unix epoch, 0
	// when not given.
	Born   int64
	Active []Active
	Ended  []Ended
}

// Hold is what the next call to an endpoint asks for.
type Hold struct {
	Address string
	Token   int64
	// Until is the end of the lease on the endpoint's clock, 0 for none.
	Until int64
	// Seen is the highest end whose effects are stored.
	Seen int64
	// Wait is how long the endpoint may wait for an end.
	Wait tmclock.Span
}

// Change is what has to be stored of one job.
type Change struct {
	Job string
	// Progress is nil when the job is final.
	Progress *tmjob.Progress
	// Final is the outcome of the job, valid if Progress is nil.
	Final       tmjob.State
	Queue, Team string
}

// Flush is a set of changes that is stored as a whole.
type Flush struct {
	Number  int64
	Changes []Change
	// Orders are the instances about which orders are given of late, nil if
	// there is nothing new.
	Orders []string

	given  []InstanceOrder
	starts []*run
	acks   map[string]int64
}
