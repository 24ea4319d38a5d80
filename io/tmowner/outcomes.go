package tmowner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"

	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// moveInterval is the time between two rounds that move outcomes to the table of
	// jobs and remove expired ones.
	moveInterval = time.Second
	// movedRetention is how long an outcome stays in the owner's part, the partition
	// of the table that only the owner writes to, after it was copied to the table of
	// jobs. A reader that has read the table of jobs before the move finds the outcome
	// in the owner's part.
	movedRetention = 5 * time.Second
	// moveBatchSize bounds the outcomes that are moved in one transaction, and the
	// expired ones that one round removes.
	moveBatchSize = 25
	// removeBatchSize bounds the moved outcomes that one flush removes from the
	// owner's part.
	removeBatchSize = 20
)

// movedOutcome is a job whose outcome is in the table of jobs, with the time of the
// move or, if an earlier owner moved the outcome, the time when the job ended.
type movedOutcome struct {
	job string
	at  time.Time
}

// retainOutcome registers an outcome in the table of jobs for removal once it has
// expired. The time is in milliseconds since the Unix epoch.
func (o *Owner) retainOutcome(job string, at int64) {
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	o.retained = append(o.retained, movedOutcome{job: job, at: time.UnixMilli(at)})
}

// removeExpiredOutcomes removes outcomes older than KeepOutcomes.
func (o *Owner) removeExpiredOutcomes(ctx context.Context) {
	o.outcomesMu.Lock()
	byPart := map[string][]movedOutcome{}
	n := 0
	for n < len(o.retained) && n < moveBatchSize && time.Since(o.retained[n].at) > o.opts.KeepOutcomes {
		part := tmrecord.PartOf(o.retained[n].job)
		byPart[part] = append(byPart[part], o.retained[n])
		n++
	}
	o.retained = o.retained[n:]
	o.outcomesMu.Unlock()
	for _, batch := range byPart {
		var txn tmtable.Txn
		for _, s := range batch {
			txn.Removes = append(txn.Removes, tmrecord.OutcomeKey(o.shard, s.job))
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := o.opts.Store.Write(callCtx, txn)
		cancel()
		if err != nil && ctx.Err() == nil {
			o.emit(tmevent.StoreFailed, "what", "old outcomes", "cause", err.Error())
		}
		if err != nil && !errors.Is(err, tmtable.ErrInvalid) {
			o.outcomesMu.Lock()
			o.retained = append(o.retained, batch...)
			o.outcomesMu.Unlock()
		}
	}
}

// queueOutcomes registers stored outcomes that are to be moved.
func (o *Owner) queueOutcomes(outcomes map[string]tmrecord.Outcome) {
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	maps.Copy(o.outcomesToMove, outcomes)
}

// takeMovedOutcomes returns some of the outcomes that were moved more than movedRetention
// ago, so that a flush with changes removes them from the owner's part.
func (o *Owner) takeMovedOutcomes(f *tmcontrol.Flush) []movedOutcome {
	if len(f.Changes) == 0 {
		return nil
	}
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	n := 0
	for n < len(o.movedOutcomes) && n < removeBatchSize && time.Since(o.movedOutcomes[n].at) > movedRetention {
		n++
	}
	moved := slices.Clone(o.movedOutcomes[:n])
	o.movedOutcomes = o.movedOutcomes[n:]
	return moved
}

// keepMovedOutcomes registers outcomes for removal again.
func (o *Owner) keepMovedOutcomes(moved []movedOutcome) {
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	o.movedOutcomes = append(moved, o.movedOutcomes...)
}

// moveOutcomesLoop moves outcomes to the table of jobs, where they replace the jobs,
// and removes expired outcomes.
func (o *Owner) moveOutcomesLoop(ctx context.Context) {
	for tmwait.Pause(ctx, moveInterval) {
		for part, batch := range o.takeOutcomeBatches() {
			o.moveOutcomes(ctx, part, batch)
		}
		o.removeExpiredOutcomes(ctx)
	}
}

// takeOutcomeBatches returns the outcomes to be moved, grouped by the partition of
// the table of jobs that they go to.
func (o *Owner) takeOutcomeBatches() map[string]map[string]tmrecord.Outcome {
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	byPart := map[string]map[string]tmrecord.Outcome{}
	for job, out := range o.outcomesToMove {
		part := tmrecord.PartOf(job)
		if byPart[part] == nil {
			byPart[part] = map[string]tmrecord.Outcome{}
		}
		if len(byPart[part]) < moveBatchSize {
			byPart[part][job] = out
			delete(o.outcomesToMove, job)
		}
	}
	return byPart
}

// moveOutcomes moves the outcomes of one partition. An outcome never changes, so a write
// that is applied late or twice does no harm. If the store refuses the batch, each of them
// is moved by itself.
func (o *Owner) moveOutcomes(ctx context.Context, part string, batch map[string]tmrecord.Outcome) {
	var txn tmtable.Txn
	for job, out := range batch {
		txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.OutcomeKey(o.shard, job), Value: tmrecord.EncodeOutcome(out)})
		txn.Removes = append(txn.Removes, tmrecord.JobKey(o.shard, job), tmrecord.CancelKey(o.shard, job))
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := o.opts.Store.Write(callCtx, txn)
	if err != nil && ctx.Err() == nil {
		o.emit(tmevent.StoreFailed, "what", "outcomes", "part", part, "cause", err.Error())
	}
	isRefused := errors.Is(err, tmtable.ErrInvalid)
	if isRefused && len(batch) > 1 {
		for job, out := range batch {
			o.moveOutcomes(ctx, part, map[string]tmrecord.Outcome{job: out})
		}
		return
	}
	o.outcomesMu.Lock()
	defer o.outcomesMu.Unlock()
	for job, out := range batch {
		if isRefused {
			// It stays in the owner's part, where readers find it.
			continue
		}
		if err != nil {
			o.outcomesToMove[job] = out
			continue
		}
		o.movedOutcomes = append(o.movedOutcomes, movedOutcome{job: job, at: time.Now()})
		o.retained = append(o.retained, movedOutcome{job: job, at: time.Now()})
	}
}
