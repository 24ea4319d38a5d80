package tmtable

import (
	"context"
	"encoding/base64"
	"errors"
	"sync"
	"time"

	"turmericmoor/internal/tmwait"
)

// A reader must get through a range of any size over any link: a page that takes too long is
// asked for again, shorter, and what has been read is kept.
const (
	// pageTimeout is the least timeout of the read of a page, maxPageTimeout the longest. A
	// page may take pageTimeoutFactor times as long as the one before.
	pageTimeout       = 1200 * time.Millisecond
	maxPageTimeout    = 5 * time.Second
	pageTimeoutFactor = 2.5
	// pageRetryDelay is the pause after a failed attempt.
	pageRetryDelay = 100 * time.Millisecond
	// firstPageRows is the number of rows of the first page. It doubles, up to maxPageRows,
	// after a page that took less than half of its timeout, and is divided by pageShrink
	// after an attempt without an answer.
	firstPageRows = 32
	maxPageRows   = 500
	pageShrink    = 4
	// concurrentReads is the maximum number of parts that are read at a time.
	concurrentReads = 8
	// usualRowBytes is the size of a row in an answer as long as none was read, rowOverhead
	// what a row has besides its value.
	usualRowBytes = 1000
	rowOverhead   = 120
)

// errEmptyPage is returned instead of a range whose end is missing.
var errEmptyPage = errors.New("tmtable: a page has no rows, but more are said to follow")

// Reader reads whole ranges page by page. It is safe for concurrent use.
type Reader struct {
	Store Store
	// MaxInFlight is how many bytes of answers may be under way at a time, as far as that
	// can be told before, so that other calls get through a narrow link. 0 is no limit.
	MaxInFlight int
	// Failed, if set, is called with the error of each failed attempt.
	Failed func(err error)

	mu sync.Mutex
	// rows is the number of rows of the next page, 0 before the first one, and timeout its
	// timeout.
	rows    int
	timeout time.Duration
	// oldest is the version of the first page that was read.
	oldest int64
	// rowsRead and bytesRead count what was read.
	rowsRead, bytesRead int
}

// ReadAll returns all rows of a range, with the Result of the first page. It repeats what
// fails until ctx ends, except for errors that would come again.
func (r *Reader) ReadAll(ctx context.Context, rng Range) (Page, error) {
	var all Page
	for first := true; ; first = false {
		page, err := r.readPage(ctx, rng)
		if err != nil {
			return Page{}, err
		}
		if first {
			all.Result = page.Result
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More {
			return all, nil
		}
		if len(page.Rows) == 0 {
			return Page{}, errEmptyPage
		}
		rng.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}

// ReadParts returns all rows of the given parts of a table, a page for each part.
func (r *Reader) ReadParts(ctx context.Context, table string, parts []string) ([]Page, error) {
	pages := make([]Page, len(parts))
	errs := make([]error, len(parts))
	turns := make(chan struct{}, r.concurrency())
	var reads sync.WaitGroup
	for i, part := range parts {
		reads.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			pages[i], errs[i] = r.ReadAll(ctx, Range{Table: table, Part: part})
		})
	}
	reads.Wait()
	return pages, errors.Join(errs...)
}

// readPage reads the next page of a range.
func (r *Reader) readPage(ctx context.Context, rng Range) (Page, error) {
	for {
		rows, timeout := r.next()
		rng.Limit = rows
		began := time.Now()
		page, err := r.tryPage(ctx, rng, timeout)
		if err == nil {
			r.succeeded(page, rows, time.Since(began), timeout)
			return page, nil
		}
		if errors.Is(err, ErrInvalid) || ctx.Err() != nil {
			return Page{}, err
		}
		if r.Failed != nil {
			r.Failed(err)
		}
		if errors.Is(err, ErrOutcomeUnknown) {
			r.timedOut(rows, timeout)
		}
		if !tmwait.Pause(ctx, pageRetryDelay) {
			return Page{}, err
		}
	}
}

func (r *Reader) tryPage(ctx context.Context, rng Range, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.Store.Read(ctx, rng)
}

// concurrency returns how many parts are read at a time.
func (r *Reader) concurrency() int {
	if r.MaxInFlight == 0 {
		return concurrentReads
	}
	return min(max(r.MaxInFlight/(firstPageRows*usualRowBytes), 1), concurrentReads)
}

// next returns the number of rows and the timeout of the next attempt.
func (r *Reader) next() (int, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == 0 {
		r.rows, r.timeout = firstPageRows, pageTimeout
	}
	if r.MaxInFlight == 0 {
		return r.rows, r.timeout
	}
	rowBytes := usualRowBytes
	if r.rowsRead > 0 {
		rowBytes = r.bytesRead / r.rowsRead
	}
	return min(r.rows, max(r.MaxInFlight/(r.concurrency()*rowBytes), 1)), r.timeout
}

// version returns the version of the oldest page that was read, 0 before the first one. The
// rows that were read hold all that was written until then in the parts that are read whole.
func (r *Reader) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldest
}

// succeeded adapts the next page to one for which the given number of rows was asked.
func (r *Reader) succeeded(page Page, rows int, took, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.oldest == 0 || page.Version < r.oldest {
		r.oldest = page.Version
	}
	for i := range page.Rows {
		r.bytesRead += rowOverhead + base64.StdEncoding.EncodedLen(len(page.Rows[i].Value))
	}
	r.rowsRead += len(page.Rows)
	if len(page.Rows) == rows && took < timeout/2 {
		r.rows = min(max(r.rows, 2*rows), maxPageRows)
	}
	r.timeout = min(max(pageTimeout, time.Duration(pageTimeoutFactor*float64(took))), maxPageTimeout)
}

// timedOut adapts the next attempt to one without an answer. Pages of a single row need
// longer. Of several attempts at a time only the first counts.
func (r *Reader) timedOut(rows int, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rows > 1 {
		r.rows = min(r.rows, max(rows/pageShrink, 1))
		return
	}
	r.timeout = min(max(r.timeout, 2*timeout), maxPageTimeout)
}
