package tmintake

import (
	"context"
	"fmt"
	"time"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/io/tmrecord"
)

// checkTimeout bounds the read that tells whether a job is stored already. What is left of the
// time of the caller has to do for storing it.
const checkTimeout = 600 * time.Millisecond

// Objective gives the time within which the jobs of a queue should end: Stretch times their
// critical path, plus Fixed.
type Objective struct {
	Stretch float64
	Fixed   tmclock.Span
}

// BacklogError means that a job would end too late to be of use, because of the work that waits in
// its pool. It wraps ErrNotAccepted.
type BacklogError struct {
	// RetryAfter is when the caller is to come back.
	RetryAfter tmclock.Span
	// Wait is the predicted wait.
	Wait tmclock.Span
}

// Error implements error.
func (e *BacklogError) Error() string {
	return fmt.Sprintf("%v: the pool needs %v for the work that waits, come back in %v", ErrNotAccepted, e.Wait, e.RetryAfter)
}

// Unwrap returns ErrNotAccepted.
func (*BacklogError) Unwrap() error { return ErrNotAccepted }

// backlogReport is what the owner of a shard has reported.
type backlogReport struct {
	token   int64
	byQueue map[string]tmadmit.Backlog
	readAt  time.Time
}

// setReport records a report, unless it comes from an earlier owner than the last one. The caller
// holds mu.
func (in *Intake) setReport(shard int, o tmrecord.Owner, readAt time.Time) {
	if o.Token >= in.reports[shard].token {
		in.reports[shard] = backlogReport{token: o.Token, byQueue: o.Backlogs, readAt: readAt}
	}
}

// SetObjectives sets the objectives of the queues. A queue without one refuses no job because of
// its backlog.
func (in *Intake) SetObjectives(objectives map[string]Objective) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.objectives = objectives
}

// decide decides whether a job is refused because of the backlog of its queue, and returns the
// age of the report.
func (in *Intake) decide(shard int, j *tmjob.Job) (tmadmit.Decision, tmclock.Span) {
	in.mu.Lock()
	defer in.mu.Unlock()
	report, ok := in.reports[shard]
	if !ok {
		return tmadmit.Decision{}, 0
	}
	now := in.opts.Now()
	age := tmclock.SpanOf(now.Sub(report.readAt))
	if now.Before(report.readAt) {
		// A span is rounded towards zero.
		age = -1
	}
	objective := in.objectives[j.Queue]
	s := tmadmit.Submission{Job: j, Stretch: objective.Stretch, Objective: objective.Fixed}
	return in.gate.Decide(s, report.byQueue[j.Queue], age, tmclock.Millis(now.UnixMilli())), age
}

// setInDoubt records that a job may be stored, which a later read may not show yet.
func (in *Intake) setInDoubt(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.gate.SetInDoubt(id, in.millis())
}

func (in *Intake) millis() tmclock.Millis { return tmclock.Millis(in.opts.Now().UnixMilli()) }

// checkBacklog returns a BacklogError if a job is refused because of the backlog of its queue, and
// reports whether it is stored already: then it is not refused, whatever the backlog. Neither is a
// job of which that can't be told, because a refusal says that it never runs.
func (in *Intake) checkBacklog(ctx context.Context, shard int, j *tmjob.Job) (stored bool, err error) {
	d, age := in.decide(shard, j)
	if d.Probe {
		in.opts.Emit(tmevent.BacklogProbe, "job", j.ID, "queue", j.Queue, "shard", shard,
			"wait_ms", int64(d.Wait), "end_ms", int64(d.End), "bound_ms", int64(d.Bound), "age_ms", int64(age))
	}
	if !d.Refuse {
		return false, nil
	}
	refusal := &BacklogError{RetryAfter: d.RetryAfter, Wait: d.Wait}
	stored, err = in.isStored(ctx, shard, j.ID)
	switch {
	case err != nil:
		in.opts.Emit(tmevent.BacklogUnchecked, "job", j.ID, "queue", j.Queue, "shard", shard, "cause", err.Error())
		return false, nil
	case stored:
		in.opts.Emit(tmevent.BacklogRepeated, "job", j.ID, "queue", j.Queue, "shard", shard, "age_ms", int64(age))
		return true, nil
	case !in.tryRefuse(j.ID, refusal):
		in.opts.Emit(tmevent.BacklogUnchecked, "job", j.ID, "queue", j.Queue, "shard", shard, "cause", "may be stored by another submission")
		return false, nil
	}
	in.opts.Emit(tmevent.BacklogRefused, "job", j.ID, "queue", j.Queue, "shard", shard, "attempt", d.Attempt,
		"wait_ms", int64(d.Wait), "end_ms", int64(d.End), "bound_ms", int64(d.Bound),
		"retry_after_ms", int64(d.RetryAfter), "age_ms", int64(age))
	return false, refusal
}

// isStored reports whether a job was accepted before.
func (in *Intake) isStored(ctx context.Context, shard int, id string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	page, err := in.readRange(ctx, tmrecord.JobRange(shard, id))
	if err != nil {
		return false, err
	}
	for _, row := range page.Rows {
		if kind, _ := tmrecord.ParseKey(row.Key.Key); kind == tmrecord.JobRow || kind == tmrecord.OutcomeRow {
			return true, nil
		}
	}
	return false, nil
}
