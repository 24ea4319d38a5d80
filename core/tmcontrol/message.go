package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmquota"
)

// RunRef identifies a run in an order. The caller returns it with the answer.
type RunRef struct {
	Task     tmjob.TaskID
	Run      int
	Endpoint string
	// SentAt distinguishes a late answer to an earlier order from the answer to the
	// latest one.
	SentAt tmclock.Millis
	// Token is the fencing token that the order carries.
	Token int64
}

// StartOrder tells an endpoint to start a task.
type StartOrder struct {
	Ref     RunRef
	Address string
	Spec    string
	// Until is the end of the lease on the endpoint's clock in milliseconds.
	Until      int64
	Checkpoint string
	// Ticket is the placement policy's permission to run the task at the endpoint, or
	// "" if the queue needs none.
	Ticket string
}

// StopOrder tells an endpoint to stop a task.
type StopOrder struct {
	Ref     RunRef
	Address string
}

// PaceOrder tells an endpoint at what percentage of its full speed a task may
// work.
type PaceOrder struct {
	Ref     RunRef
	Address string
	Percent int
}

// Answer is the outcome of an order to an endpoint.
type Answer int

// Answers to an order.
const (
	// Accepted: the order was carried out, now or earlier.
	Accepted Answer = iota
	// Fenced: the endpoint has seen a higher fencing token.
	Fenced
	// Superseded: this run or a later one has already ended or been stopped there.
	Superseded
	// TooLate: the lease of the order had expired on arrival.
	TooLate
	// NoRoom: the endpoint lacks free capacity.
	NoRoom
	// BadTicket: the placement policy doesn't permit the placement.
	BadTicket
	// OtherEndpoint: another endpoint is at the address.
	OtherEndpoint
	// Unhealthy: the endpoint refused and did nothing.
	Unhealthy
	// Refused: the endpoint considers the order malformed.
	Refused
	// NotSent: the order certainly did not arrive.
	NotSent
	// NoConnection: the order was not sent, because this node has no port or file descriptor
	// left for another connection.
	NoConnection
	// Undelivered: the order may have been carried out, but is not carried out later.
	Undelivered
	// NoAnswer: the order may have been carried out or may be carried out later.
	NoAnswer
)

var answerNames = [...]string{
	"accepted", "fenced", "superseded", "too_late", "no_room", "bad_ticket",
	"other_life", "unhealthy", "refused", "not_sent", "no_connection", "undelivered", "no_answer",
}

// String returns the name of the answer as written to logs.
func (a Answer) String() string { return answerNames[a] }

// IsUnknown reports whether the order may have been carried out.
func (a Answer) IsUnknown() bool { return a == Undelivered || a == NoAnswer }

// IsDefinite reports whether the answer to a start order also tells the fate of every
// other order for the same run in the same lifetime of the endpoint: the run exists there,
// or no order for it can be carried out there any more.
func (a Answer) IsDefinite() bool {
	return a == Accepted || a == Fenced || a == Superseded || a == OtherEndpoint
}

// EndReason says why a run ended.
type EndReason int

// Reasons for the end of a run.
const (
	// EndDone: the task is complete.
	EndDone EndReason = iota
	// EndFailed: the run failed, through its own fault or the endpoint's.
	EndFailed
	// EndStopped: an order stopped the run.
	EndStopped
	// EndLapsed: the lease of the run expired.
	EndLapsed
	// EndGangBroken: another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete: the members of the gang did not all start in time.
	EndGangIncomplete
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the reason as written to logs.
func (e EndReason) String() string { return endNames[e] }

// ActiveRun is a run that is active at an endpoint.
type ActiveRun struct {
	Task       tmjob.TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Usage is the tail latency in milliseconds for a task that serves users, and the
	// CPU usage in thousandths of a core for others.
	Usage int64
}

// EndedRun is a run that ended at an endpoint.
type EndedRun struct {
	// Number counts the ended runs of the endpoint's lifetime from 1.
	Number     int64
	Task       tmjob.TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// HoldResponse is what an endpoint reports about its runs.
type HoldResponse struct {
	// Clock is the endpoint's clock in milliseconds.
	Clock int64
	// StartedAt is when the lifetime of the endpoint began, in milliseconds since the
	// Unix epoch, or 0 if not given.
	StartedAt int64
	Active    []ActiveRun
	Ended     []EndedRun
	// Truncated says that Ended may not hold all ends, so that a run that is not listed may
	// have ended. The others are listed once these are acknowledged.
	Truncated bool
}

// HoldCall identifies the call that a HoldResponse answers: when it was sent, and the
// fencing token that it carried.
type HoldCall struct {
	SentAt tmclock.Millis
	Token  int64
}

// HoldRequest is the content of a hold: a long poll that renews the lease of an
// endpoint and returns its active and ended runs.
type HoldRequest struct {
	Address string
	Token   int64
	// Until is the end of the lease on the endpoint's clock, 0 for none.
	Until int64
	// Acked is the highest number of an end whose effects are stored.
	Acked int64
	// Wait is how long the endpoint may wait for a run to end before it answers.
	Wait tmclock.Span
	// Overdue is the time after which a missing answer means that the call was probably
	// lost, 0 if that can't be told before Wait has passed.
	Overdue tmclock.Span
}

// WithoutAcks returns the request without an acknowledgement of ends, for a call that may
// reach another lifetime of the endpoint than the one that listed them.
func (h HoldRequest) WithoutAcks() HoldRequest {
	h.Acked = 0
	return h
}

// Change is what has to be stored of one page of the progress of a job.
type Change struct {
	Job  string
	Page int
	// Progress is nil when the row of the page has to be removed.
	Progress *tmjob.Progress
	// Final is the outcome of the job once it is final, and Pending before. It is stored
	// with page 0.
	Final       tmjob.State
	Queue, Team string
	// Last says that the job is final and has no rows of progress left after this change.
	Last bool
}

// Flush is a set of changes that is stored atomically. It fits into a transaction of the
// store.
type Flush struct {
	Number  int64
	Changes []Change
	// Orders are the recent orders about instances, nil if there is nothing new.
	Orders *RecentOrders
	// Quotas are the shard's parts of limits of teams that have changed.
	Quotas []tmquota.Row

	pages          []*page
	instanceOrders []InstanceOrder
	starts         []*run
	acks           []ack
}

// ack is the number of the last end of an endpoint's lifetime whose effects a flush holds.
type ack struct {
	endpoint *endpoint
	lifetime int
	end      int64
}
