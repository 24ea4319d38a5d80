package tmowner

import (
	"context"
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// shardPause is the pause between two calls to the feed of the table of shards, and
	// jobPause that between two calls to the feed of the table of jobs of a shard. They
	// batch the changes.
	shardPause = 30 * time.Millisecond
	jobPause   = 15 * time.Millisecond
)

// feedPause returns the pause between two calls to the feed of the table of jobs. A
// fleet that is not divided has few enough jobs for a call for each of them.
func (o *Owner) feedPause() time.Duration {
	if o.opts.Shard.IsWhole() {
		return 0
	}
	return jobPause
}

// owns reports whether an endpoint belongs to the shard. An endpoint that names no
// instance is assigned by its own id.
func (o *Owner) owns(e tmcontrol.EndpointInfo) bool {
	if e.Instance == "" {
		return o.opts.Shard.OwnsInstance(e.ID)
	}
	return o.opts.Shard.OwnsInstance(e.Instance)
}

// followShards follows what the owners of the other shards store.
func (o *Owner) followShards(ctx context.Context) {
	apply := func(rows []tmtable.Row) {
		for _, row := range rows {
			if err := o.applyShardRow(row); err != nil {
				o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			}
		}
		notify(o.waveSignal)
		o.requestPlan()
	}
	f := tmtable.Follower{
		Store: o.opts.Store, Table: tmrecord.ShardTable, Parts: tmrecord.OwnerParts(o.opts.Shard.Count()), Pause: shardPause, MaxInFlight: o.opts.MaxInFlight,
		Snapshot: apply, Changed: apply,
		Lost: func(err error) { o.emit(tmevent.StoreLost, "what", "shards", "cause", err.Error()) },
		Regained: func(after time.Duration) {
			o.emit(tmevent.StoreRegained, "what", "shards", "lost_ms", after.Milliseconds())
		},
	}
	f.Run(ctx)
}

// applyShardRow applies a row of another shard.
func (o *Owner) applyShardRow(row tmtable.Row) error {
	shard, ok := tmrecord.ShardOfPart(row.Part)
	if !ok || row.Deleted || shard == o.shard {
		return nil
	}
	if name, ok := tmrecord.WaveName(row.Key.Key); ok {
		w, err := tmrecord.DecodeWave(row.Value)
		if err == nil && w.Completed {
			o.waveFinished(name, shard)
		}
		return err
	}
	if team, ok := tmrecord.QuotaTeam(row.Key.Key); ok {
		q, err := tmrecord.DecodeQuota(team, row.Value)
		if err == nil {
			o.mu.Lock()
			o.ctl.SetPeerQuota(shard, q, row.Version)
			o.mu.Unlock()
		}
		return err
	}
	return nil
}

// restoreShard loads the rows of the table of shards into the controller: the progress
// of this shard in waves and its parts of the limits of teams, and what the other
// shards have stored. Nothing may start before: without the row of another shard it
// looks as if that shard had started nothing.
func (o *Owner) restoreShard(ctx context.Context, r *tmtable.Reader) error {
	for _, part := range tmrecord.OwnerParts(o.opts.Shard.Count()) {
		page, err := r.ReadAll(ctx, tmtable.Range{Table: tmrecord.ShardTable, Part: part})
		if err != nil {
			return err
		}
		apply := o.applyShardRow
		if part == tmrecord.OwnerPart(o.shard) {
			apply = o.restoreShardRow
		}
		for _, row := range page.Rows {
			if err := apply(row); err != nil {
				o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			}
		}
	}
	return nil
}

func (o *Owner) restoreShardRow(row tmtable.Row) error {
	if name, ok := tmrecord.WaveName(row.Key.Key); ok {
		o.setWaveVersion(name, row.Version)
		w, err := tmrecord.DecodeWave(row.Value)
		if err != nil {
			return err
		}
		if w.Completed {
			o.waveFinished(name, o.shard)
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.ctl.RestoreWave(tmcontrol.WaveReport{Wave: name, Done: w.Done, Completed: w.Completed})
		return nil
	}
	if team, ok := tmrecord.QuotaTeam(row.Key.Key); ok {
		q, err := tmrecord.DecodeQuota(team, row.Value)
		if err != nil {
			return err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.ctl.RestoreQuota(q)
	}
	return nil
}
