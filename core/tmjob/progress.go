package tmjob

import (
	"cmp"
	"slices"
	"unicode/utf8"
)

// Placement is a run of a task on an endpoint.
type Placement struct {
	// Run is the run number. The starts of a task are numbered from 1.
	Run int
	// Endpoint is the identifier of the endpoint, EndpointStart the start of its
	// lifetime in milliseconds since the Unix epoch.
	Endpoint      string
	EndpointStart int64
	// Isolated says that no other task was starting on the endpoint, because the task was
	// suspected of having crashed endpoints.
	Isolated bool
	// Lapsed says that the run is gone because the endpoint was silent, which counts as a
	// crash as long as that lasts.
	Lapsed bool
}

// TaskRecord is the stored state of a task.
type TaskRecord struct {
	Occurrence, Step, Index int
	// Runs is the highest run number used so far, Failures the number of failed
	// runs.
	Runs, Failures int
	// Crashes is the number of endpoints that have crashed under the task, Suspicions tells
	// how likely the task caused them.
	Crashes, Suspicions int
	Done                bool
	// Begun is set if an endpoint had started a run of the task when the record was stored, and the
	// task is not done.
	Begun bool
	// Checkpoint is the latest checkpoint, or "".
	Checkpoint string
	// Placements lists the runs that may still be active.
	Placements []Placement
}

// OccurrenceRange is the occurrences from First to Last, both included.
type OccurrenceRange struct {
	First, Last int
}

// Gaps returns the occurrences before next that are in none of the given ranges.
func Gaps(ranges []OccurrenceRange, next int) []OccurrenceRange {
	sorted := slices.SortedFunc(slices.Values(ranges), func(a, b OccurrenceRange) int { return cmp.Compare(a.First, b.First) })
	var gaps []OccurrenceRange
	first := 0
	for _, r := range sorted {
		if r.Last < r.First {
			continue
		}
		if last := min(r.First, next) - 1; last >= first {
			gaps = append(gaps, OccurrenceRange{First: first, Last: last})
		}
		first = max(first, r.Last+1)
	}
	if first < next {
		gaps = append(gaps, OccurrenceRange{First: first, Last: next - 1})
	}
	return gaps
}

// Progress is the stored state of the tasks of a job, or of some of them. The job itself
// is stored apart from it.
//
// Progress is stored in pages, each of which is a row, so that a row has a bounded size
// however many tasks the job has. The tasks of a job belong to pages by their number.
// Page 0 also has the occurrences that are done; their tasks have no records any more.
type Progress struct {
	ID    string
	Tasks []TaskRecord
	Done  []OccurrenceRange
	// Pages lists the pages that the progress was read from.
	Pages []int
}

// Merge returns the progress in the pages of a job, with page 0 first. An earlier version
// stored all records on page 0: where a task has a record on another page as well, that one
// is newer.
func Merge(id string, pages []Progress) Progress {
	merged := Progress{ID: id}
	at := map[TaskID]int{}
	for _, p := range pages {
		merged.Done = append(merged.Done, p.Done...)
		merged.Pages = append(merged.Pages, p.Pages...)
		for _, rec := range p.Tasks {
			key := TaskID{Occurrence: rec.Occurrence, Step: rec.Step, Index: rec.Index}
			if i, ok := at[key]; ok {
				merged.Tasks[i] = rec
				continue
			}
			at[key] = len(merged.Tasks)
			merged.Tasks = append(merged.Tasks, rec)
		}
	}
	return merged
}

// Bounds on what a row needs for the parts of progress, in bytes.
const (
	progressBytes  = 64
	recordBytes    = 200
	placementBytes = 90
	rangeBytes     = 48
)

// Size returns an upper bound of the size in bytes of the row that stores the progress.
func (p *Progress) Size() int {
	size := progressBytes + rangeBytes*len(p.Done)
	for i := range p.Tasks {
		size += p.Tasks[i].size()
	}
	return size
}

func (r *TaskRecord) size() int {
	size := recordBytes + TextBytes(r.Checkpoint)
	for i := range r.Placements {
		size += placementBytes + TextBytes(r.Placements[i].Endpoint)
	}
	return size
}

// escapedBytes is the most bytes that a row needs for one byte of a text.
const escapedBytes = 6

// TextBytes returns an upper bound of the number of bytes that a row needs for a text.
func TextBytes(text string) int {
	n := 0
	for i := range len(text) {
		if b := text[i]; b < ' ' || b >= utf8.RuneSelf || b == '"' || b == '\\' || b == '<' || b == '>' || b == '&' {
			n += escapedBytes
		} else {
			n++
		}
	}
	return n
}

// DropCheckpoints removes the longest checkpoints until Size is at most maxBytes. It
// returns the number of removed ones. Their tasks begin anew if the owner changes.
func (p *Progress) DropCheckpoints(maxBytes int) int {
	dropped := 0
	for size := p.Size(); size > maxBytes; {
		longest := 0
		for i := range p.Tasks {
			if len(p.Tasks[i].Checkpoint) > len(p.Tasks[longest].Checkpoint) {
				longest = i
			}
		}
		if len(p.Tasks) == 0 || p.Tasks[longest].Checkpoint == "" {
			break
		}
		size -= TextBytes(p.Tasks[longest].Checkpoint)
		p.Tasks[longest].Checkpoint = ""
		dropped++
	}
	return dropped
}
