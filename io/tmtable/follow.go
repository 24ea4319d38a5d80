package tmtable

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmclock"
)

const (
	// retryDelay is the pause after a failed call to the store.
	retryDelay = 150 * time.Millisecond
	// defaultWait is how long a feed call waits for a change.
	defaultWait = 1000 * tmclock.Millisecond
	// feedTimeoutMargin is added to the wait of a feed call to get the timeout of
	// the call.
	feedTimeoutMargin = 700 * time.Millisecond
	// readTimeout, plus readTimeoutPerPart for each part, bounds the time to read a
	// table. Without this bound, a call that hangs would keep a starting node waiting
	// for its configuration.
	readTimeout        = 1200 * time.Millisecond
	readTimeoutPerPart = 250 * time.Millisecond
)

// Follower keeps a reader up to date with a table. Run calls all functions below from
// one goroutine.
type Follower struct {
	Store Store
	Table string
	// Parts lists the parts that a snapshot reads.
	Parts []string
	// Wait is how long one call to the feed waits for a change; 0 means one second.
	Wait tmclock.Span
	// Pause is the pause after each call that succeeds; 0 means none.
	Pause time.Duration
	// Snapshot is called with all rows at the start and after ErrHistoryTruncated.
	Snapshot func(rows []Row)
	// Changed is called with the rows that changed after the snapshot, in order.
	Changed func(rows []Row)
	// Synced, if set, is called after each successful call, with the time when the
	// request was sent. The rows passed until then include everything that was written
	// before sentAt.
	Synced func(sentAt time.Time)
	// Lost, if set, is called after the first of several failed calls. Regained, if
	// set, is called after the first call that succeeds again, with the time since
	// Lost.
	Lost     func(err error)
	Regained func(after time.Duration)
	// Now, if set, replaces time.Now as the source of sentAt.
	Now func() time.Time
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.Wait == 0 {
		f.Wait = defaultWait
	}
	if f.Now == nil {
		f.Now = time.Now
	}
	version, hasSnapshot := int64(0), false
	var lostAt time.Time
	for ctx.Err() == nil {
		var err error
		if hasSnapshot {
			version, err = f.feed(ctx, version)
		} else {
			version, err = f.snapshot(ctx)
			hasSnapshot = err == nil
		}
		if errors.Is(err, ErrHistoryTruncated) {
			hasSnapshot = false
			continue
		}
		lostAt = f.reportStoreState(ctx, err, lostAt)
		if err != nil {
			tmwait.Pause(ctx, retryDelay)
		} else if f.Pause > 0 {
			tmwait.Pause(ctx, f.Pause)
		}
	}
}

// reportStoreState calls Lost for the first failure and Regained for the first
// success after it. It returns the time since which calls have failed, or the zero
// time.
func (f *Follower) reportStoreState(ctx context.Context, err error, lostAt time.Time) time.Time {
	switch {
	case err == nil && !lostAt.IsZero():
		if f.Regained != nil {
			f.Regained(time.Since(lostAt))
		}
		return time.Time{}
	case err != nil && lostAt.IsZero() && ctx.Err() == nil:
		if f.Lost != nil {
			f.Lost(err)
		}
		return time.Now()
	}
	return lostAt
}

func (f *Follower) snapshot(ctx context.Context) (int64, error) {
	timeout := readTimeout + time.Duration(len(f.Parts))*readTimeoutPerPart
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := f.Now()
	pages, err := f.readParts(ctx, timeout)
	if err != nil {
		return 0, err
	}
	// The feed continues from the version of the oldest page: it may repeat known
	// changes, but misses none.
	version := pages[0].Version
	var rows []Row
	for _, page := range pages {
		version = min(version, page.Version)
		rows = append(rows, page.Rows...)
	}
	f.Snapshot(rows)
	f.synced(sent)
	return version, nil
}

// readParts reads all parts concurrently, since each call to a slow store takes
// long.
func (f *Follower) readParts(ctx context.Context, pageTimeout time.Duration) ([]Page, error) {
	pages := make([]Page, len(f.Parts))
	errs := make([]error, len(f.Parts))
	var reads sync.WaitGroup
	for i, part := range f.Parts {
		reads.Go(func() {
			pages[i], errs[i] = ReadAll(ctx, f.Store, Range{Table: f.Table, Part: part}, pageTimeout)
		})
	}
	reads.Wait()
	return pages, errors.Join(errs...)
}

func (f *Follower) feed(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait.Duration()+feedTimeoutMargin)
	defer cancel()
	sent := f.Now()
	page, err := f.Store.Feed(ctx, f.Table, after, f.Wait)
	if err != nil {
		return after, err
	}
	if len(page.Rows) > 0 {
		f.Changed(page.Rows)
	}
	f.synced(sent)
	return max(page.Version, after), nil
}

func (f *Follower) synced(sent time.Time) {
	if f.Synced != nil {
		f.Synced(sent)
	}
}
