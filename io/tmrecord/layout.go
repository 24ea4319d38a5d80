// Package tmrecord has the rows in which jobs, their progress and the ownership
// of the fleet are stored, and their codecs. Field names in rows are short
// because every row is read again by a new owner.
//
// A live job is a row KEY in the table of jobs; a cancellation lies beside it
// as KEY.c, and the outcome replaces both as KEY.d. The progress of a live job
// is in a table of its own, which only the owner writes and nobody follows.
// All rows of one job lie in the same part.
package tmrecord

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/io/tmtable"
)

// Tables.
const (
	JobTable   = "tm_job"
	RunTable   = "tm_run"
	OwnerTable = "tm_owner"
)

const (
	cancelSuffix  = ".c"
	outcomeSuffix = ".d"
	// afterSuffixes sorts after all rows of one job and before all of the next.
	afterSuffixes = "/"
	// ownerKey is the row that the owner writes with every change in a part.
	ownerKey = "!owner"
	// parts is how many parts the jobs are spread over. All processes of an
	// installation have to agree on it.
	parts = 4
)

var partNames = [parts]string{"p0", "p1", "p2", "p3"}

// Parts returns the names of all parts that hold jobs.
func Parts() []string { return partNames[:] }

// PartOf returns the part that holds a job.
func PartOf(job string) string { return partNames[xxhash.Sum64String(job)%parts] }

// JobKey returns the row of a live job.
func JobKey(job string) tmtable.Key {
	return tmtable.Key{Table: JobTable, Part: PartOf(job), Key: job}
}

// CancelKey returns the row of the cancellation of a job.
func CancelKey(job string) tmtable.Key {
	return tmtable.Key{Table: JobTable, Part: PartOf(job), Key: job + cancelSuffix}
}

// OutcomeKey returns the row of the outcome of a job.
func OutcomeKey(job string) tmtable.Key {
	return tmtable.Key{Table: JobTable, Part: PartOf(job), Key: job + outcomeSuffix}
}

// RunKey returns the row of the progress of a job.
func RunKey(job string) tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: PartOf(job), Key: job}
}

// FenceKey returns the row by which the owner guards its writes to a part.
func FenceKey(part string) tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: part, Key: ownerKey}
}

// OwnerKey returns the row that says who owns the fleet.
func OwnerKey() tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: "owner"} }

// waveKey begins the rows with the progress of waves in the table of the owner.
const waveKey = "wave/"

// WaveKey returns the row with the progress of a wave.
func WaveKey(name string) tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: waveKey + name} }

// WaveName returns the wave of such a row.
func WaveName(key string) string { return strings.TrimPrefix(key, waveKey) }

// WaveRange returns the range of all such rows.
func WaveRange() tmtable.Range {
	return tmtable.Range{Table: OwnerTable, From: waveKey, To: "wave0"}
}

// JobRange returns the range of all rows of a job in the table of jobs.
func JobRange(job string) tmtable.Range {
	return tmtable.Range{Table: JobTable, Part: PartOf(job), From: job, To: job + afterSuffixes}
}

// Kind is what a row of the table of jobs holds.
type Kind int

// Kinds of rows.
const (
	JobRow Kind = iota
	CancelRow
	OutcomeRow
)

// KindOf returns what a row of the table of jobs holds, and of which job.
func KindOf(key string) (Kind, string) {
	if job, ok := strings.CutSuffix(key, cancelSuffix); ok {
		return CancelRow, job
	}
	if job, ok := strings.CutSuffix(key, outcomeSuffix); ok {
		return OutcomeRow, job
	}
	return JobRow, key
}

// IsFence reports whether a key of the progress table is the owner's guard.
func IsFence(key string) bool { return key == ownerKey }
