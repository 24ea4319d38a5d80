package tmowner

import (
	"context"
	"maps"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"

	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// settleEvery is the time between two rounds that move outcomes to the table
	// of jobs.
	settleEvery = time.Second
	// settleKeep is how long an outcome stays in the owner's part after it was
	// moved: a reader may have looked at the table of jobs before the move.
	settleKeep = 5 * time.Second
	// settleBatch bounds the outcomes that are moved in one transaction.
	settleBatch = 25
	// removeBatch bounds the moved outcomes that one flush removes.
	removeBatch = 20
)

// settled is an outcome that was moved to the table of jobs.
type settled struct {
	job string
	at  time.Time
}

// keepOutcome notes an outcome that lies in the table of jobs since a time in
// milliseconds since the Unix epoch.
func (o *Owner) keepOutcome(job string, at int64) {
	o.settleMu.Lock()
	defer o.settleMu.Unlock()
	o.kept = append(o.kept, settled{job: job, at: time.UnixMilli(at)})
}

// sweep removes outcomes that callers need no longer.
func (o *Owner) sweep(ctx context.Context) {
	o.settleMu.Lock()
	byPart := map[string][]settled{}
	n := 0
	for n < len(o.kept) && n < settleBatch && time.Since(o.kept[n].at) > o.opts.KeepOutcomes {
		part := tmrecord.PartOf(o.kept[n].job)
		byPart[part] = append(byPart[part], o.kept[n])
		n++
	}
	o.kept = o.kept[n:]
	o.settleMu.Unlock()
	for _, batch := range byPart {
		var txn tmtable.Txn
		for _, s := range batch {
			txn.Removes = append(txn.Removes, tmrecord.OutcomeKey(s.job))
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := o.opts.Store.Write(callCtx, txn)
		cancel()
		if err != nil && ctx.Err() == nil {
			o.note(tmevent.StoreFailed, "what", "old outcomes", "cause", err.Error())
			o.settleMu.Lock()
			o.kept = append(o.kept, batch...)
			o.settleMu.Unlock()
		}
	}
}

// settle notes stored outcomes that are to be moved.
func (o *Owner) settle(outcomes map[string]tmrecord.Outcome) {
	o.settleMu.Lock()
	defer o.settleMu.Unlock()
	maps.Copy(o.outcomes, outcomes)
}

// moved returns some outcomes that the owner's part no longer needs.
func (o *Owner) moved() []string {
	o.settleMu.Lock()
	defer o.settleMu.Unlock()
	n := 0
	for n < len(o.settledJobs) && n < removeBatch && time.Since(o.settledJobs[n].at) > settleKeep {
		n++
	}
	jobs := make([]string, 0, n)
	for _, s := range o.settledJobs[:n] {
		jobs = append(jobs, s.job)
	}
	o.settledJobs = o.settledJobs[n:]
	return jobs
}

// settleLoop moves outcomes to the table of jobs, where they replace the jobs.
func (o *Owner) settleLoop(ctx context.Context) {
	for tmwait.Pause(ctx, settleEvery) {
		for part, batch := range o.takeOutcomes() {
			o.move(ctx, part, batch)
		}
		o.sweep(ctx)
	}
}

// takeOutcomes returns the outcomes to be moved by part.
func (o *Owner) takeOutcomes() map[string]map[string]tmrecord.Outcome {
	o.settleMu.Lock()
	defer o.settleMu.Unlock()
	byPart := map[string]map[string]tmrecord.Outcome{}
	for job, out := range o.outcomes {
		part := tmrecord.PartOf(job)
		if byPart[part] == nil {
			byPart[part] = map[string]tmrecord.Outcome{}
		}
		if len(byPart[part]) < settleBatch {
			byPart[part][job] = out
			delete(o.outcomes, job)
		}
	}
	return byPart
}

// move moves the outcomes of one part. An outcome never changes, so it does no
// harm if the write is carried out late or twice.
func (o *Owner) move(ctx context.Context, part string, batch map[string]tmrecord.Outcome) {
	var txn tmtable.Txn
	for job, out := range batch {
		txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.OutcomeKey(job), Value: tmrecord.EncodeOutcome(out)})
		txn.Removes = append(txn.Removes, tmrecord.JobKey(job), tmrecord.CancelKey(job))
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := o.opts.Store.Write(callCtx, txn)
	if err != nil && ctx.Err() == nil {
		o.note(tmevent.StoreFailed, "what", "outcomes", "part", part, "cause", err.Error())
	}
	o.settleMu.Lock()
	defer o.settleMu.Unlock()
	for job, out := range batch {
		if err != nil {
			o.outcomes[job] = out
			continue
		}
		o.settledJobs = append(o.settledJobs, settled{job: job, at: time.Now()})
		o.kept = append(o.kept, settled{job: job, at: time.Now()})
	}
}
