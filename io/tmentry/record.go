package tmentry

import (
	"context"
	"errors"
	"net/http"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmpeer"
	"turmericmoor/io/tmstore"
)

// minLookupAge is the age from which the record of a request is looked up on
// arrival. A younger request is most likely the first submission; if it is not,
// the creation of its record finds the existing one.
const minLookupAge = 2 * tmclock.Second

// runRecord is the record of a job whose caller chose the id.
type runRecord struct {
	id     tmonce.ID
	key    string
	claim  tmonce.Claim
	digest tmonce.Digest
	// owned is set once this job's claim has created the row, at revision.
	owned    bool
	record   tmonce.Record
	revision uint64
}

// checkID checks the request id and, for a request that is recorded, looks for
// an earlier submission. It reports whether the earlier submission has been
// answered, with its answer.
func (e *Entry) checkID(ctx context.Context, j *job) (bool, tmrequest.Answer, *tmrequest.Error) {
	id, err := tmonce.ParseID(j.req.ID())
	if err != nil {
		return false, tmrequest.Answer{}, tmrequest.NewError(tmrequest.BadRequest, idOutcome(err), "%v", err)
	}
	now := tmclock.Wall()
	if err := id.CheckAge(now); err != nil {
		code := tmrequest.IDExpired
		if errors.Is(err, tmonce.ErrTooFarAhead) {
			code = tmrequest.IDReused
		}
		return false, tmrequest.Answer{}, tmrequest.NewError(code, idOutcome(err), "%v", err)
	}
	if !j.req.NeedsRecord() {
		return false, tmrequest.Answer{}, nil
	}
	j.record = &runRecord{
		id:     id,
		key:    id.RowKey(j.team),
		claim:  tmonce.NewClaim(e.self.Incarnation(), uuid.NewString()),
		digest: tmonce.DigestOf([]byte(j.req.Queue()), []byte(j.req.ContentType()), j.req.Body()),
	}
	if now.Sub(id.Time()) < minLookupAge {
		return false, tmrequest.Answer{}, nil
	}
	row, _, err := e.store.Run(ctx, j.record.key)
	if errors.Is(err, tmstore.ErrNotFound) {
		return false, tmrequest.Answer{}, nil
	}
	if err != nil {
		fail := tmrequest.NewError(tmrequest.StoreUnavailable, tmonce.Unknown, "the record of the request can't be read")
		return false, tmrequest.Answer{}, fail.WithRetryAfter(tmclock.Second)
	}
	decision := tmonce.Decide(row, true, j.record.digest, e.ownerOf(ctx, row, j))
	r := e.replay(j, decision, row)
	return r.fail == nil, r.answer, r.fail
}

// idOutcome returns the outcome to report for a rejected id.
func idOutcome(err error) tmonce.Outcome {
	var bad *tmonce.IDError
	if errors.As(err, &bad) {
		return bad.Outcome()
	}
	return tmonce.Unknown
}

// ownerOf asks the entry that created a record whether it still has the
// request.
func (e *Entry) ownerOf(ctx context.Context, row tmonce.Record, j *job) tmonce.OwnerStatus {
	if row.State() != tmonce.Started {
		return tmonce.OwnerUnknown
	}
	if row.Incarnation() == e.self.Incarnation() {
		if e.tables.status(j.team, j.req.ID()) != tmpeer.StatusNone {
			return tmonce.OwnerProcessing
		}
		return tmonce.OwnerUnknown
	}
	member, ok := e.tracker.State().Members().Get(row.Incarnation())
	if !ok {
		return tmonce.OwnerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	defer cancel()
	status, err := e.node.Status(ctx, member, tmpeer.StatusQuery{Team: j.team, RequestID: j.req.ID()})
	if err != nil || status == tmpeer.StatusNone {
		return tmonce.OwnerUnknown
	}
	return tmonce.OwnerProcessing
}

// replay returns the result of a repeated submission.
func (e *Entry) replay(j *job, decision tmonce.Decision, row tmonce.Record) result {
	switch decision {
	case tmonce.Replay:
		return replayed(j, row)
	case tmonce.InProgress:
		fail := tmrequest.NewError(tmrequest.InProgress, tmonce.Unknown, "request %s is in progress", j.req.ID())
		return result{fail: fail.WithRetryAfter(tmclock.Second)}
	case tmonce.IDReused:
		return result{fail: tmrequest.NewError(tmrequest.IDReused, tmonce.Unknown,
			"request id %s belongs to a request with other content", j.req.ID())}
	default:
		return result{fail: tmrequest.NewError(tmrequest.AnswerLost, tmonce.Unknown,
			"request %s was started and its outcome is not known", j.req.ID())}
	}
}

// replayed returns the result that a completed record has.
func replayed(j *job, row tmonce.Record) result {
	body, kept := row.Answer()
	switch {
	case row.Status() != http.StatusOK:
		return result{fail: tmrequest.NewError(tmrequest.TaskFailed, row.Outcome(), "request %s has failed before", j.req.ID())}
	case !kept:
		return result{fail: tmrequest.NewError(tmrequest.AnswerLost, row.Outcome(),
			"request %s has run; its answer of more than %d bytes was not kept", j.req.ID(), tmonce.MaxAnswerSize)}
	default:
		return result{answer: tmrequest.NewAnswer("application/json", body, true)}
	}
}

// claim creates the record of a job before its first attempt. When it returns
// false, the job must not be sent and the result is final.
func (e *Entry) claim(j *job) (result, bool) {
	rec := j.record
	if err := rec.id.CheckAge(tmclock.Wall()); err != nil {
		return result{fail: tmrequest.NewError(tmrequest.IDExpired, tmonce.Unknown, "%v", err)}, false
	}
	rec.record = rec.claim.Start(rec.digest)
	res, err := e.runs.write(e.ctx, tmonce.Write{Op: tmonce.Create, Key: rec.key, Record: rec.record})
	if err != nil || res.Status == tmonce.Abandoned {
		fail := tmrequest.NewError(tmrequest.StoreUnavailable, tmonce.Unknown, "the start of the request can't be recorded")
		return result{fail: fail.WithRetryAfter(tmclock.Second)}, false
	}
	rec.revision = res.Revision
	if res.Status == tmonce.Conflicted {
		if r, ok := e.resolveClaim(j); !ok {
			return r, false
		}
	}
	if err := rec.id.CheckSend(tmclock.Wall()); err != nil {
		return result{fail: tmrequest.NewError(tmrequest.IDExpired, tmonce.Unknown, "%v", err)}, false
	}
	rec.owned = true
	return result{}, true
}

// resolveClaim decides what to do when the row already existed at the creation
// of a record. It returns true when the row was written by this very claim.
func (e *Entry) resolveClaim(j *job) (result, bool) {
	rec := j.record
	row, revision, err := e.store.Run(e.ctx, rec.key)
	if err != nil {
		fail := tmrequest.NewError(tmrequest.StoreUnavailable, tmonce.Unknown, "the record of the request can't be read")
		return result{fail: fail.WithRetryAfter(tmclock.Second)}, false
	}
	decision := rec.claim.ResolveConflict(row, true, rec.digest, e.ownerOf(e.ctx, row, j))
	if decision == tmonce.Send {
		rec.revision = revision
		return result{}, true
	}
	return e.replay(j, decision, row), false
}

// closeRecord writes the outcome of a job whose record this entry owns. The
// caller does not wait for the write: if it is lost, the row stays in the state
// started, and repeated submissions are told that the outcome is unknown.
func (e *Entry) closeRecord(j *job, r result) result {
	rec := j.record
	if !rec.owned {
		return r
	}
	write := tmonce.Write{Op: tmonce.Complete, Key: rec.key, Revision: rec.revision}
	switch {
	case r.fail == nil:
		write.Record = rec.record.Finish(tmonce.Ran, http.StatusOK, r.answer.Body())
	case r.fail.Outcome() == tmonce.Ran:
		write.Record = rec.record.Finish(tmonce.Ran, http.StatusInternalServerError, nil)
	case r.fail.Outcome() == tmonce.NotRun:
		// The id may be used again. The caller is told unknown, because another
		// submission of the same id may be on its way.
		write.Op = tmonce.Delete
	default:
		return r
	}
	e.loops.Go(func() {
		if _, err := e.runs.write(e.ctx, write); err != nil {
			e.log.Warn("outcome of request not recorded", "request_id", j.req.ID(), "error", err)
		}
	})
	return r
}

// sweepRuns deletes the records that are too old for any repeated submission to
// be accepted.
func (e *Entry) sweepRuns(ctx context.Context) {
	now := tmclock.Wall()
	if !e.fresh() {
		return
	}
	for _, sweep := range e.runs.due(now, e.tracker.State().Members().Keys()) {
		n, err := e.store.DeleteRuns(ctx, sweep)
		if err != nil {
			return
		}
		e.runs.swept(sweep, now)
		if n > 0 {
			e.log.Debug("expired records deleted", "records", n)
		}
	}
}
