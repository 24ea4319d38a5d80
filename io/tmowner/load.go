package tmowner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

func (o *Owner) followEndpoints(ctx context.Context) {
	known := map[string]bool{}
	f := tmtable.Follower{
		Store: o.opts.Store, Table: o.opts.Directory.EndpointTable(), Parts: []string{""},
		Wait: endpointWait, Pause: endpointPause, Now: o.opts.BootClock, MaxInFlight: o.opts.MaxInFlight,
		Synced: func(sentAt time.Time) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.listedAt = sentAt
		},
		Snapshot: func(rows []tmtable.Row) {
			present := map[string]bool{}
			for _, row := range rows {
				present[row.Key.Key] = true
			}
			for id := range known {
				if !present[id] {
					o.setEndpoint(known, tmtable.Row{Key: tmtable.Key{Key: id}, Deleted: true})
				}
			}
			for _, row := range rows {
				o.setEndpoint(known, row)
			}
			o.requestPlan()
		},
		Changed: func(rows []tmtable.Row) {
			for _, row := range rows {
				o.setEndpoint(known, row)
			}
			o.requestPlan()
		},
		Lost: func(err error) { o.emit(tmevent.StoreLost, "what", "list of endpoints", "cause", err.Error()) },
		Regained: func(after time.Duration) {
			o.emit(tmevent.StoreRegained, "what", "list of endpoints", "lost_ms", after.Milliseconds())
		},
	}
	f.Run(ctx)
}

func (o *Owner) setEndpoint(known map[string]bool, row tmtable.Row) {
	now := o.opts.Clock.Now()
	id := row.Key.Key
	if row.Deleted {
		delete(known, id)
		o.mu.Lock()
		o.ctl.RemoveEndpoint(id)
		o.mu.Unlock()
		return
	}
	l, err := o.opts.Directory.Endpoint(row)
	if err != nil {
		o.emit(tmevent.RowUnreadable, "table", row.Table, "key", id, "cause", err.Error())
		return
	}
	if !o.owns(l) {
		return
	}
	known[id] = true
	o.mu.Lock()
	o.ctl.SetEndpoint(l, now)
	o.mu.Unlock()
}

func (o *Owner) followJobs(ctx context.Context) {
	f := tmtable.Follower{
		Store: o.opts.Store, Table: tmrecord.JobTable(o.shard), Parts: tmrecord.Parts(), Pause: o.feedPause(), Now: o.opts.BootClock, MaxInFlight: o.opts.MaxInFlight,
		Synced: func(sentAt time.Time) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.jobsReadAt = sentAt
		},
		Snapshot: func(rows []tmtable.Row) {
			// Rows come grouped by partition. The shares of teams depend on the order
			// in which jobs arrived, which is the order of versions.
			slices.SortFunc(rows, func(a, b tmtable.Row) int { return cmp.Compare(a.Version, b.Version) })
			o.applyJobRows(rows)
			if !o.isLoaded() {
				o.loadMovedOutcomes(rows)
				o.restore(ctx)
			}
		},
		Changed: func(rows []tmtable.Row) {
			o.applyJobRows(rows)
			o.requestPlan()
		},
		Lost: func(err error) { o.emit(tmevent.StoreLost, "what", "jobs", "cause", err.Error()) },
		Regained: func(after time.Duration) {
			o.emit(tmevent.StoreRegained, "what", "jobs", "lost_ms", after.Milliseconds())
		},
	}
	f.Run(ctx)
}

func (o *Owner) isLoaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded
}

func (o *Owner) applyJobRows(rows []tmtable.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range rows {
		kind, id := tmrecord.ParseKey(row.Key.Key)
		if row.Deleted {
			if kind == tmrecord.JobRow {
				o.ctl.Removed(id)
			}
			continue
		}
		switch kind {
		case tmrecord.JobRow:
			j, err := tmrecord.DecodeJob(id, row.Value)
			if err != nil {
				o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
				continue
			}
			o.ctl.Submitted(j)
		case tmrecord.CancelRow:
			o.ctl.Cancelled(id)
		case tmrecord.OutcomeRow:
		}
	}
}

// loadMovedOutcomes registers the outcomes that earlier owners moved to the table of
// jobs, so that this owner removes them once they expire.
func (o *Owner) loadMovedOutcomes(rows []tmtable.Row) {
	for _, row := range rows {
		kind, id := tmrecord.ParseKey(row.Key.Key)
		if kind != tmrecord.OutcomeRow {
			continue
		}
		out, err := tmrecord.DecodeOutcome(row.Value)
		if err != nil {
			o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		o.retainOutcome(id, out.At)
	}
}

// restore loads the progress of all live jobs and of waves. Run has acquired the
// guard before, so no earlier owner can still change the progress of jobs.
func (o *Owner) restore(ctx context.Context) {
	if !o.retryRead(ctx, "progress of jobs", o.restoreRuns) || !o.retryRead(ctx, "rows of the shard", o.restoreShard) {
		return
	}
	o.mu.Lock()
	o.loaded = true
	o.ctl.Loaded()
	o.mu.Unlock()
	o.emit(tmevent.OwnerLoaded, "token", o.token, "shard", o.shard)
	o.requestPlan()
}

// retryRead repeats a read until it succeeds. It reports false when ctx ends.
func (o *Owner) retryRead(ctx context.Context, what string, read func(ctx context.Context, r *tmtable.Reader) error) bool {
	failed := func(err error) { o.emit(tmevent.StoreFailed, "what", what, "cause", err.Error()) }
	reader := &tmtable.Reader{Store: o.opts.Store, MaxInFlight: o.opts.MaxInFlight, Failed: failed}
	for {
		err := read(ctx, reader)
		if err == nil {
			return true
		}
		failed(err)
		if !tmwait.Pause(ctx, tickInterval) {
			return false
		}
	}
}

// restoreRuns loads the rows of the owner's part, the partition that only the owner writes
// to, into the controller. The outcome of a job is loaded after its progress.
func (o *Owner) restoreRuns(ctx context.Context, r *tmtable.Reader) error {
	page, err := r.ReadAll(ctx, tmtable.Range{Table: tmrecord.RunTable, Part: tmrecord.OwnerPart(o.shard)})
	if err != nil {
		return err
	}
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var progress, outcomes []tmtable.Row
	for _, row := range page.Rows {
		kind, _ := tmrecord.ParseKey(row.Key.Key)
		switch {
		case row.Key == tmrecord.GuardKey(o.shard):
		case row.Key == tmrecord.OrdersKey(o.shard):
			o.restoreOrders(row, now)
		case kind == tmrecord.OutcomeRow:
			outcomes = append(outcomes, row)
		default:
			progress = append(progress, row)
		}
	}
	o.restoreProgress(progress, now)
	for _, row := range outcomes {
		o.restoreOutcome(row)
	}
	return nil
}

func (o *Owner) emitUnreadable(row tmtable.Row, err error) {
	o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
}

// restoreOrders loads the instances that recent orders were about. The caller holds mu.
func (o *Owner) restoreOrders(row tmtable.Row, now tmclock.Millis) {
	orders, err := tmrecord.DecodeOrders(row.Value)
	if err != nil {
		o.emitUnreadable(row, err)
	}
	o.ctl.RestoreOrders(tmcontrol.RecentOrders(orders), now)
}

// restoreOutcome loads the outcome of a job. The caller holds mu.
func (o *Owner) restoreOutcome(row tmtable.Row) {
	_, id := tmrecord.ParseKey(row.Key.Key)
	out, err := tmrecord.DecodeOutcome(row.Value)
	if err != nil {
		o.emitUnreadable(row, err)
		o.ctl.Withhold(id, nil)
		return
	}
	if o.ctl.Finished(id, out.State) {
		o.queueOutcomes(map[string]tmrecord.Outcome{id: out})
	}
}

// restoreProgress loads the pages of the progress of jobs, which are sorted by job. The
// caller holds mu.
func (o *Owner) restoreProgress(rows []tmtable.Row, now tmclock.Millis) {
	for len(rows) > 0 {
		id, _, _ := tmrecord.ParseProgressKey(rows[0].Key.Key)
		n := 1
		for n < len(rows) && isPageOf(rows[n], id) {
			n++
		}
		o.restoreJob(id, rows[:n], now)
		rows = rows[n:]
	}
}

func isPageOf(row tmtable.Row, id string) bool {
	job, _, _ := tmrecord.ParseProgressKey(row.Key.Key)
	return job == id
}

// restoreJob loads the pages of the progress of one job. If one of them can't be read, the
// job is withheld. The caller holds mu.
func (o *Owner) restoreJob(id string, rows []tmtable.Row, now tmclock.Millis) {
	var pages []tmjob.Progress
	var numbers []int
	readable := true
	for _, row := range rows {
		_, n, ok := tmrecord.ParseProgressKey(row.Key.Key)
		page, err := tmrecord.DecodeProgress(id, row.Value)
		if !ok && err == nil {
			err = tmrecord.ErrUnreadable
		}
		if err != nil {
			o.emitUnreadable(row, err)
			readable = false
		}
		page.Pages = []int{n}
		pages = append(pages, page)
		numbers = append(numbers, n)
	}
	if !readable {
		o.ctl.Withhold(id, numbers)
		return
	}
	o.ctl.Restore(tmjob.Merge(id, pages), now)
}
