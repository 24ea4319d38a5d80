package tmtable

import (
	"context"
	"errors"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmclock"
)

const (
	// retryDelay is the pause after a failed call to the feed.
	retryDelay = 150 * time.Millisecond
	// defaultWait is how long a feed call waits for a change.
	defaultWait = 1000 * tmclock.Millisecond
	// feedTimeoutMargin is added to the wait of a feed call to get the timeout of
	// the call.
	feedTimeoutMargin = 700 * time.Millisecond
	// historyInterval is the time between two calls to the feed while a snapshot is read,
	// which may take longer than the store keeps its history.
	historyInterval = 2 * time.Second
	// After maxFeedFailures calls in a row without an answer the follower checks whether
	// the store answers reads. If so maxLargeFeeds times, the changes are too many for one
	// answer of the feed, and the table is read anew.
	maxFeedFailures = 3
	maxLargeFeeds   = 2
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
	// MaxInFlight is that of the Reader of snapshots.
	MaxInFlight int
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

	// lostAt is when the first of several calls failed, feedFailures how many calls to the
	// feed in a row got no answer, and largeFeeds how often the store answered a read
	// meanwhile.
	lostAt                   time.Time
	feedFailures, largeFeeds int
	// sentAt is when the call was sent whose rows are passed on.
	sentAt time.Time
}

// SentAt returns when the call was sent whose rows Snapshot or Changed gets, by Now. Only these
// may call it.
func (f *Follower) SentAt() time.Time { return f.sentAt }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.Wait == 0 {
		f.Wait = defaultWait
	}
	if f.Now == nil {
		f.Now = time.Now
	}
	version, hasSnapshot := int64(0), false
	for ctx.Err() == nil {
		var err error
		if hasSnapshot {
			version, err = f.feed(ctx, version)
			hasSnapshot = !f.isFeedTooLarge(ctx, err)
		} else {
			version, err = f.snapshot(ctx)
			hasSnapshot = err == nil
		}
		if errors.Is(err, ErrHistoryTruncated) {
			hasSnapshot = false
			continue
		}
		f.reportStoreState(ctx, err)
		if err != nil {
			tmwait.Pause(ctx, retryDelay)
		} else if f.Pause > 0 {
			tmwait.Pause(ctx, f.Pause)
		}
	}
}

// reportStoreState calls Lost for the first failure and Regained for the first
// success after it.
func (f *Follower) reportStoreState(ctx context.Context, err error) {
	switch {
	case err == nil && !f.lostAt.IsZero():
		if f.Regained != nil {
			f.Regained(time.Since(f.lostAt))
		}
		f.lostAt = time.Time{}
	case err != nil && f.lostAt.IsZero() && ctx.Err() == nil:
		if f.Lost != nil {
			f.Lost(err)
		}
		f.lostAt = time.Now()
	}
}

// isFeedTooLarge counts the calls to the feed that got no answer, and reports whether the
// changes are too many for one answer.
func (f *Follower) isFeedTooLarge(ctx context.Context, err error) bool {
	if !errors.Is(err, ErrOutcomeUnknown) {
		f.feedFailures, f.largeFeeds = 0, 0
		return false
	}
	f.feedFailures++
	if f.feedFailures < maxFeedFailures {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	if _, err := f.Store.Read(ctx, Range{Table: f.Table, Part: f.Parts[0], Limit: 1}); err != nil {
		f.largeFeeds = 0
		return false
	}
	f.largeFeeds++
	return f.largeFeeds >= maxLargeFeeds
}

// snapshot reads all rows and returns the version from which the feed continues. Meanwhile
// it reads the feed as well, so that it may take longer than the store keeps its history.
func (f *Follower) snapshot(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := f.Now()
	failed := make(chan error, 1)
	reader := &Reader{Store: f.Store, MaxInFlight: f.MaxInFlight, Failed: func(err error) {
		select {
		case failed <- err:
		default:
		}
	}}
	var pages []Page
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		pages, err = reader.ReadParts(ctx, f.Table, f.Parts)
	}()
	var changes changeBuffer
	var feedErr error
	tick := time.NewTicker(historyInterval)
	defer tick.Stop()
	for reading := true; reading; {
		select {
		case <-done:
			reading = false
		case err := <-failed:
			f.reportStoreState(ctx, err)
		case <-tick.C:
			feedErr = changes.read(ctx, f, reader.version())
		}
		if errors.Is(feedErr, ErrHistoryTruncated) {
			cancel()
			<-done
			return 0, feedErr
		}
	}
	if err != nil {
		return 0, err
	}
	var rows []Row
	for _, page := range pages {
		rows = append(rows, page.Rows...)
	}
	f.sentAt = sent
	f.Snapshot(rows)
	if missed := changes.since(rows); len(missed) > 0 {
		f.Changed(missed)
	}
	f.synced(sent)
	return max(changes.version, reader.version()), nil
}

// changeBuffer holds the changes of a table while a snapshot of it is read.
type changeBuffer struct {
	rows    []Row
	version int64
}

// read adds the changes after the ones that it holds, or after the given version.
func (b *changeBuffer) read(ctx context.Context, f *Follower, after int64) error {
	after = max(after, b.version)
	if after == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, feedTimeoutMargin)
	defer cancel()
	page, err := f.Store.Feed(ctx, f.Table, after, 0)
	if err != nil {
		return err
	}
	b.rows = append(b.rows, page.Rows...)
	b.version = max(after, page.Version)
	return nil
}

// since returns the changes that are newer than the rows of the snapshot.
func (b *changeBuffer) since(rows []Row) []Row {
	if len(b.rows) == 0 {
		return nil
	}
	versions := make(map[Key]int64, len(rows))
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	var changes []Row
	for _, row := range b.rows {
		if row.Version > versions[row.Key] {
			changes = append(changes, row)
		}
	}
	return changes
}

// feed reads the changes after a version. It waits for one, except after a failure: then an
// answer, even without a change, is what tells that the store is back.
func (f *Follower) feed(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait.Duration()+feedTimeoutMargin)
	defer cancel()
	wait := f.Wait
	if !f.lostAt.IsZero() {
		wait = 0
	}
	sent := f.Now()
	page, err := f.Store.Feed(ctx, f.Table, after, wait)
	if err != nil {
		return after, err
	}
	f.sentAt = sent
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
