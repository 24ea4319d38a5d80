package tmcontrol

import (
	"maps"
	"slices"

	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// This file divides the progress of jobs into pages. A page is stored as one row, and only
// the pages that have changed are stored again.

const (
	// tasksPerPage is the number of tasks on a page. All versions must agree on it: only
	// page 0 may hold records of tasks that belong to other pages.
	tasksPerPage = 32
	// defaultRowBytes is the maximum size of a row if Bounds gives none.
	defaultRowBytes = 65_536
	// maxStoredLapses is the number of lapses of a task that are stored, the latest ones.
	maxStoredLapses = 3
	// maxRestoredOccurrences limits the open occurrences of a job after a restore. Owners
	// open fewer, so that a row which names more is not one of theirs.
	maxRestoredOccurrences = 1000
)

// page is a part of the progress of a job. Page 0, the head, has the occurrences that are
// done. The head of a timed job has no tasks.
type page struct {
	job *job
	n   int
	// occ is the occurrence of the tasks, nil for the head of a timed job.
	occ   *occurrence
	tasks []*task
	// dirty is set while the page is in the queue of pages to be stored, stored while
	// there is a row of it.
	dirty, stored bool
	// moved is set while the records of the page are stored only on page 0, where an
	// earlier version put them.
	moved bool
	// gone is set once the row is to be removed.
	gone bool
	// refused is set while the store has refused the page as it is. Its tasks don't
	// start meanwhile.
	refused bool
	// ends holds the ends that the page has been changed by since it was last taken into a
	// flush, takenEnds those that the flush stores.
	ends, takenEnds []ack
}

// pageNumber returns the number of the page of a task, which is the i-th of all tasks of
// its occurrence k.
func (j *job) pageNumber(k, i int) int {
	if j.spec.Repeats == 0 {
		return i / tasksPerPage
	}
	perOccurrence := (j.tasksPerOccurrence + tasksPerPage - 1) / tasksPerPage
	return 1 + k*perOccurrence + i/tasksPerPage
}

// page returns the page with the given number, and adds it if there is none.
func (j *job) page(n int) *page {
	p := j.pages[n]
	if p == nil {
		p = &page{job: j, n: n}
		j.pages[n] = p
	}
	return p
}

// head returns page 0.
func (j *job) head() *page { return j.pages[0] }

// addPages assigns the tasks of an occurrence to pages.
func (j *job) addPages(o *occurrence) {
	i := 0
	for t := range o.tasks() {
		p := j.page(j.pageNumber(o.number, i))
		p.occ = o
		p.tasks = append(p.tasks, t)
		t.page = p
		i++
	}
}

// isDirty reports whether a page of the job is in the queue to be stored.
func (j *job) isDirty() bool {
	for _, p := range j.pages {
		if p.dirty {
			return true
		}
	}
	return false
}

// hasRows reports whether a row of the progress of the job is stored or about to be.
func (j *job) hasRows() bool {
	for _, p := range j.pages {
		if p.stored || p.dirty {
			return true
		}
	}
	return false
}

// hasMoved reports whether records of other pages are stored only on page 0, and no flush
// that was taken has them.
func (j *job) hasMoved() bool {
	for _, p := range j.pages {
		if p.moved && (p.dirty || p.refused) {
			return true
		}
	}
	return false
}

// doneRanges returns the occurrences that are done and have no runs left.
func (j *job) doneRanges() []tmjob.OccurrenceRange {
	var ranges []tmjob.OccurrenceRange
	first := 0
	for _, k := range append(slices.Sorted(maps.Keys(j.occurrences)), j.next) {
		if k > first {
			ranges = append(ranges, tmjob.OccurrenceRange{First: first, Last: k - 1})
		}
		first = k + 1
	}
	return ranges
}

// progress returns what the row of the page has to hold.
func (p *page) progress() tmjob.Progress {
	progress := tmjob.Progress{ID: p.job.spec.ID}
	if p.n == 0 {
		progress.Done = p.job.doneRanges()
	}
	for _, t := range p.tasks {
		if r, ok := t.record(); ok {
			progress.Tasks = append(progress.Tasks, r)
		}
	}
	return progress
}

// markDirty records that the state of a task has changed that is stored. The first task of
// a gang keeps what is known about the crashes under all of them.
func (c *Controller) markDirty(t *task) {
	if t.step.occ.job.final {
		// The rows of a final job only have to last until its runs have ended.
		return
	}
	c.markPageDirty(t.page)
	c.markPageDirty(t.culprit().page)
}

func (c *Controller) markPageDirty(p *page) {
	if !p.dirty && p.job.pages[p.n] == p {
		p.dirty = true
		c.dirty = append(c.dirty, p)
	}
}

// markClean discards the changes of a job that are not stored yet.
func (c *Controller) markClean(j *job) {
	c.dirty = slices.DeleteFunc(c.dirty, func(p *page) bool { return p.job == j })
	for _, p := range j.pages {
		p.dirty = false
	}
}

// releaseRows queues the rows that are not needed once the head is stored: those of
// occurrences that it has as done, or all if the job is final and has no runs left.
func (c *Controller) releaseRows(j *job) {
	for _, n := range slices.Sorted(maps.Keys(j.pages)) {
		p := j.pages[n]
		if n == 0 || p.occ != nil && j.occurrences[p.occ.number] == p.occ && !j.rowsReleased {
			continue
		}
		p.gone = true
		if p.stored {
			c.markPageDirty(p)
		} else if !p.dirty {
			delete(j.pages, n)
		}
	}
}

// closeIfIdle forgets an occurrence of a timed job that is done and has no runs left. The
// head has it as done from now on.
func (c *Controller) closeIfIdle(o *occurrence) {
	j := o.job
	if o.left > 0 || j.spec.Repeats == 0 || j.final || j.occurrences[o.number] != o || !o.idle() {
		return
	}
	delete(j.occurrences, o.number)
	j.pack()
	c.markPageDirty(j.head())
}

// restorePages takes over the pages that are stored, and moves records to the pages that
// they belong to.
func (c *Controller) restorePages(j *job, stored []int) {
	for _, n := range stored {
		j.page(n).stored = true
	}
	j.head().stored = true
	for _, n := range slices.Sorted(maps.Keys(j.pages)) {
		p := j.pages[n]
		switch {
		case n == 0:
		case p.occ == nil:
			// The occurrence is done, or the job has no such tasks.
			p.gone = true
			c.markPageDirty(p)
		case !p.stored && p.hasRecords():
			p.moved = true
			c.markPageDirty(p)
		}
	}
	if j.hasMoved() {
		c.markPageDirty(j.head())
	}
}

func (p *page) hasRecords() bool {
	return slices.ContainsFunc(p.tasks, func(t *task) bool {
		_, ok := t.record()
		return ok
	})
}

// progressToStore returns the progress of the page within the size of a row.
func (c *Controller) progressToStore(p *page) *tmjob.Progress {
	progress := p.progress()
	if n := progress.DropCheckpoints(c.rowBytes()); n > 0 {
		c.event(tmevent.CheckpointsDropped, "job", p.job.spec.ID, "page", p.n, "tasks", n)
	}
	return &progress
}

func (c *Controller) rowBytes() int {
	if c.bounds.RowBytes == 0 {
		return defaultRowBytes
	}
	return c.bounds.RowBytes
}
