package tmowner

import (
	"bytes"
	"context"
	"errors"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// waveProgress is what an owner knows about the waves of the whole fleet.
type waveProgress struct {
	// reports holds, by wave, the newest progress of this shard that is not stored yet.
	reports map[string]tmcontrol.WaveReport
	// finished holds, by wave, the shards that have stored that their part is finished.
	finished map[string]map[int]bool
	// running and completed hold the waves whose status was written as such.
	running, completed map[string]bool
	// versions holds, by wave, the version of the row with the progress of this shard.
	versions map[string]int64
}

func newWaveProgress() waveProgress {
	return waveProgress{
		reports: map[string]tmcontrol.WaveReport{}, finished: map[string]map[int]bool{},
		running: map[string]bool{}, completed: map[string]bool{}, versions: map[string]int64{},
	}
}

// queueWaveReports registers the progress of waves to be stored.
func (o *Owner) queueWaveReports(reports []tmcontrol.WaveReport) {
	if len(reports) == 0 {
		return
	}
	o.mu.Lock()
	for _, r := range reports {
		o.waves.reports[r.Wave] = r
	}
	o.mu.Unlock()
	notify(o.waveSignal)
}

// waveFinished records that a shard has stored that its part of a wave is finished.
func (o *Owner) waveFinished(wave string, shard int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waves.finished[wave] == nil {
		o.waves.finished[wave] = map[int]bool{}
	}
	o.waves.finished[wave][shard] = true
	o.ctl.WavePartFinished(wave, shard)
}

// waveLoop stores the progress of waves and reports their status to the operator. It is
// the only writer of these rows in this process.
func (o *Owner) waveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.waveSignal:
		}
		o.mu.Lock()
		reports := o.waves.reports
		o.waves.reports = map[string]tmcontrol.WaveReport{}
		o.mu.Unlock()
		for _, r := range reports {
			if !o.storeWaveReport(ctx, r) {
				return
			}
		}
		if o.shard == 0 && !o.completeWaves(ctx) {
			return
		}
	}
}

// storeWaveReport stores the progress of the shard's part of a wave. The owner of the
// first shard also reports that the wave is running. It reports false if ctx ended.
func (o *Owner) storeWaveReport(ctx context.Context, r tmcontrol.WaveReport) bool {
	if !o.storeWaveRow(ctx, r) {
		return false
	}
	if r.Completed {
		o.waveFinished(r.Wave, o.shard)
	}
	if o.shard != 0 || o.waves.running[r.Wave] {
		return true
	}
	// The condition keeps a write that is applied late from replacing a later status.
	status := o.opts.Directory.WaveStatus(r.Wave, false)
	o.waves.running[r.Wave] = true
	return o.writeUntilStored(ctx, tmtable.Txn{Expects: []tmtable.Expect{{Key: status.Key}}, Puts: []tmtable.Put{status}})
}

// storeWaveRow stores the progress of the shard's part of a wave, on condition that the row
// is the one that is known: a write that is applied late, or that a deposed owner makes,
// must not replace a later one. It reports false if ctx ended or a later owner was found.
func (o *Owner) storeWaveRow(ctx context.Context, r tmcontrol.WaveReport) bool {
	put := tmtable.Put{
		Key:   tmrecord.WaveKey(o.shard, r.Wave),
		Value: tmrecord.EncodeWave(tmrecord.Wave{Done: r.Done, Completed: r.Completed, Token: o.token}),
	}
	for ctx.Err() == nil {
		expect := tmtable.Expect{Key: put.Key, Version: o.waveVersion(r.Wave)}
		res, err := o.writeReport(ctx, tmtable.Txn{Expects: []tmtable.Expect{expect}, Puts: []tmtable.Put{put}})
		var conflict *tmtable.ConflictError
		switch {
		case err == nil:
			o.setWaveVersion(r.Wave, res.Version)
			return true
		case errors.As(err, &conflict):
			row := findRow(conflict.Rows, put.Key)
			o.setWaveVersion(r.Wave, row.Version)
			if bytes.Equal(row.Value, put.Value) {
				// An earlier attempt was applied without an answer.
				return true
			}
			if o.isSuperseded(row) {
				o.stop()
				return false
			}
		case errors.Is(err, tmtable.ErrInvalid):
			// The row would be refused again. The next report differs.
			return true
		}
	}
	return false
}

// findRow returns the row with the given key, or one with version 0.
func findRow(rows []tmtable.Row, key tmtable.Key) tmtable.Row {
	for _, row := range rows {
		if row.Key == key && !row.Deleted {
			return row
		}
	}
	return tmtable.Row{Key: key}
}

// isSuperseded reports whether a later owner has written the row of a wave.
func (o *Owner) isSuperseded(row tmtable.Row) bool {
	if row.Version == 0 {
		return false
	}
	w, err := tmrecord.DecodeWave(row.Value)
	if err != nil {
		o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
		return false
	}
	if w.Token > o.token {
		o.emit(tmevent.OwnerDeposed, "token", o.token, "by", w.Token)
		return true
	}
	return false
}

func (o *Owner) waveVersion(wave string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waves.versions[wave]
}

func (o *Owner) setWaveVersion(wave string, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waves.versions[wave] = version
}

// completeWaves reports the waves as completed that all shards have finished. It reports
// false if ctx ended.
func (o *Owner) completeWaves(ctx context.Context) bool {
	o.mu.Lock()
	finished := map[string]int{}
	for wave, shards := range o.waves.finished {
		finished[wave] = len(shards)
	}
	o.mu.Unlock()
	for wave, n := range finished {
		if n < o.opts.Shard.Count() || o.waves.completed[wave] {
			continue
		}
		o.waves.completed[wave] = true
		if !o.writeUntilStored(ctx, tmtable.Txn{Puts: []tmtable.Put{o.opts.Directory.WaveStatus(wave, true)}}) {
			return false
		}
	}
	return true
}

// writeUntilStored repeats a transaction until it is stored, its condition fails or the
// store refuses it for good. It reports false if ctx ended.
func (o *Owner) writeUntilStored(ctx context.Context, txn tmtable.Txn) bool {
	for ctx.Err() == nil {
		_, err := o.writeReport(ctx, txn)
		var conflict *tmtable.ConflictError
		if err == nil || errors.As(err, &conflict) || errors.Is(err, tmtable.ErrInvalid) {
			return true
		}
	}
	return false
}

// writeReport tries a transaction about a wave once. After a failure other than a conflict
// it pauses.
func (o *Owner) writeReport(ctx context.Context, txn tmtable.Txn) (tmtable.Result, error) {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	res, err := o.opts.Store.Write(callCtx, txn)
	var conflict *tmtable.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		o.emit(tmevent.StoreFailed, "what", "wave report", "cause", err.Error())
		tmwait.Pause(ctx, writeRetryDelay)
	}
	return res, err
}
