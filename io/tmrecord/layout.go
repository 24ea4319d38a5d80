// Package tmrecord has the rows in which jobs, their progress and the ownership
// of the fleet are stored, and their codecs. Field names in rows are short
// because every row is read again by a new owner.
//
// A live job is a row KEY in the table of jobs, spread over many parts so that
// submissions do not wait for each other; a cancellation lies beside it as KEY.c.
// What the owner writes lies in one part of a table of its own, so that a flush is
// one transaction in one part: the progress of a job as KEY, and its outcome as
// KEY.d. Later the owner moves the outcome to the table of jobs, where it replaces
// the job.
package tmrecord

import (
	"fmt"
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
	// guardKey is the row that the owner writes with every flush.
	guardKey = "!owner"
	// ordersKey is the row with the instances about which orders were given.
	ordersKey = "!orders"
	// ownerPart is the part that only the owner writes to.
	ownerPart = "own"
	// parts is how many parts the jobs are spread over. All processes of an
	// installation have to agree on it.
	parts = 16
)

var partNames = func() []string {
	names := make([]string, parts)
	for i := range names {
		names[i] = fmt.Sprintf("p%02d", i)
	}
	return names
}()

// Parts returns the names of all parts that hold jobs.
func Parts() []string { return partNames }

// OwnerPart returns the part of the progress table that the owner writes to.
func OwnerPart() string { return ownerPart }

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

// OutcomeKey returns the row of the outcome of a job in the table of jobs.
func OutcomeKey(job string) tmtable.Key {
	return tmtable.Key{Table: JobTable, Part: PartOf(job), Key: job + outcomeSuffix}
}

// RunKey returns the row of the progress of a job.
func RunKey(job string) tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: job}
}

// FreshOutcomeKey returns the row of an outcome that the owner has not moved to
// the table of jobs yet.
func FreshOutcomeKey(job string) tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: job + outcomeSuffix}
}

// GuardKey returns the row by which the owner guards its writes.
func GuardKey() tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: guardKey}
}

// OwnerKey returns the row that says who owns the fleet.
func OwnerKey() tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: "owner"} }

// nodeKey begins the rows of the nodes in the table of the owner.
const nodeKey = "node/"

// NodeKey returns the row in which a node says what it has.
func NodeKey(name string) tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: nodeKey + name} }

// IsNode reports whether a key of the table of the owner is that of a node.
func IsNode(key string) bool { return strings.HasPrefix(key, nodeKey) }

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

// RunRange returns the range of what the owner has of a job.
func RunRange(job string) tmtable.Range {
	return tmtable.Range{Table: RunTable, Part: ownerPart, From: job, To: job + afterSuffixes}
}

// Kind is what a row of the table of jobs, or of the progress table, holds.
type Kind int

// Kinds of rows.
const (
	// JobRow is a job, or its progress in the progress table.
	JobRow Kind = iota
	CancelRow
	OutcomeRow
)

// KindOf returns what a row holds, and of which job.
func KindOf(key string) (Kind, string) {
	if job, ok := strings.CutSuffix(key, cancelSuffix); ok {
		return CancelRow, job
	}
	if job, ok := strings.CutSuffix(key, outcomeSuffix); ok {
		return OutcomeRow, job
	}
	return JobRow, key
}

// OrdersKey returns the row with the instances about which the owner has given
// orders of late.
func OrdersKey() tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: ordersKey}
}
