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
	// retryPause is the pause after a failed call of Follow.
	retryPause = 150 * time.Millisecond
	// defaultWait is how long a feed call waits for a change.
	defaultWait = 1000 * tmclock.Millisecond
	// callSlack is how much longer than its wait a feed call may take.
	callSlack = 700 * time.Millisecond
	// readTimeout bounds the reading of a table, with readEach more for each part: a
	// call that hangs must not keep a starting node from its configuration for long.
	readTimeout = 1200 * time.Millisecond
	readEach    = 250 * time.Millisecond
)

// Follower says what to follow and whom to tell. The functions are called from
// one goroutine.
type Follower struct {
	Store Store
	Table string
	// Parts are the parts that hold rows of interest.
	Parts []string
	// Wait is how long one call waits for a change; 0 is one second.
	Wait tmclock.Span
	// Pause is the least time between two calls of the feed; 0 follows at once.
	Pause time.Duration
	// Snapshot gets all rows at the start and whenever history was lost.
	Snapshot func(rows []Row)
	// Changed gets the rows that changed since, in order.
	Changed func(rows []Row)
	// Contact, if set, hears of each answer: the rows passed on before hold
	// everything that was written before sentAt.
	Contact func(sentAt time.Time)
	// Lost, if set, hears of the first failed call, Regained of the first that
	// succeeds again, and after what time.
	Lost     func(err error)
	Regained func(after time.Duration)
	// Now, if set, replaces the clock that Contact is given.
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
	version, known := int64(0), false
	var lost time.Time
	for ctx.Err() == nil {
		var err error
		if known {
			version, err = f.feed(ctx, version)
		} else {
			version, err = f.snapshot(ctx)
			known = err == nil
		}
		if errors.Is(err, ErrHistory) {
			known = false
			continue
		}
		lost = f.noteTrouble(ctx, err, lost)
		if err != nil {
			tmwait.Pause(ctx, retryPause)
		} else if f.Pause > 0 {
			tmwait.Pause(ctx, f.Pause)
		}
	}
}

// noteTrouble tells of the first failure and of the first success after it. It
// returns since when calls fail.
func (f *Follower) noteTrouble(ctx context.Context, err error, lost time.Time) time.Time {
	switch {
	case err == nil && !lost.IsZero():
		if f.Regained != nil {
			f.Regained(time.Since(lost))
		}
		return time.Time{}
	case err != nil && lost.IsZero() && ctx.Err() == nil:
		if f.Lost != nil {
			f.Lost(err)
		}
		return time.Now()
	}
	return lost
}

func (f *Follower) snapshot(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout+time.Duration(len(f.Parts))*readEach)
	defer cancel()
	sent := f.Now()
	pages, err := f.readParts(ctx)
	if err != nil {
		return 0, err
	}
	// The feed is read from the oldest of the pages on: what it repeats is known
	// already, but nothing is missed.
	version := pages[0].Version
	var rows []Row
	for _, page := range pages {
		version = min(version, page.Version)
		rows = append(rows, page.Rows...)
	}
	f.Snapshot(rows)
	f.contact(sent)
	return version, nil
}

// readParts reads all parts at once, since each call to a slow store takes long.
func (f *Follower) readParts(ctx context.Context) ([]Page, error) {
	pages := make([]Page, len(f.Parts))
	errs := make([]error, len(f.Parts))
	var reads sync.WaitGroup
	for i, part := range f.Parts {
		reads.Go(func() {
			pages[i], errs[i] = ReadAll(ctx, f.Store, Range{Table: f.Table, Part: part})
		})
	}
	reads.Wait()
	return pages, errors.Join(errs...)
}

func (f *Follower) feed(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait.Duration()+callSlack)
	defer cancel()
	sent := f.Now()
	page, err := f.Store.Feed(ctx, f.Table, after, f.Wait)
	if err != nil {
		return after, err
	}
	if len(page.Rows) > 0 {
		f.Changed(page.Rows)
	}
	f.contact(sent)
	return max(page.Version, after), nil
}

func (f *Follower) contact(sent time.Time) {
	if f.Contact != nil {
		f.Contact(sent)
	}
}
