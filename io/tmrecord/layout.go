// Package tmrecord defines the rows that store jobs, their progress and the
// ownership of the fleet, and encodes and decodes them. Field names in rows are
// short because a new owner reads every row again.
//
// A part is a partition of a table. A live job is the row KEY in the table of jobs,
// which has many parts so that submissions do not wait for each other. A cancellation
// is the row KEY.c in the same part. The owner writes to one part of a separate table,
// so that a flush, the batch of changes that it writes at once, is one transaction in
// one part. In that part the progress of a job is the row KEY, and its outcome the row
// KEY.d. Later the owner moves the outcome to the table of jobs, where the outcome
// replaces the job.
package tmrecord

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/io/tmtable"
)

// Names of the tables. JobTable holds jobs and moved outcomes, RunTable what the
// owner writes about jobs, and OwnerTable the owner, the nodes and the progress of
// waves.
const (
	JobTable   = "tm_job"
	RunTable   = "tm_run"
	OwnerTable = "tm_owner"
)

const (
	cancelSuffix  = ".c"
	outcomeSuffix = ".d"
	// jobRangeEnd sorts after all suffixes of the rows of one job and before all
	// rows of the next.
	jobRangeEnd = "/"
	// guardKey is the key of the guard row, which the owner writes with every flush.
	guardKey = "!owner"
	// ordersKey is the key of the row with the instances that recent orders of the
	// owner were about.
	ordersKey = "!orders"
	// ownerPart is the part of the progress table that only the owner writes to.
	ownerPart = "own"
	// partCount is the number of parts that the jobs are spread over. All processes
	// of an installation must agree on it.
	partCount = 16
)

var partNames = func() []string {
	names := make([]string, partCount)
	for i := range names {
		names[i] = fmt.Sprintf("p%02d", i)
	}
	return names
}()

// Parts returns the names of all partitions of the table of jobs.
func Parts() []string { return partNames }

// OwnerPart returns the partition of the progress table that the owner writes to.
func OwnerPart() string { return ownerPart }

// PartOf returns the partition of the table of jobs that holds the rows of a job.
func PartOf(job string) string { return partNames[xxhash.Sum64String(job)%partCount] }

// JobKey returns the key of the row of a live job.
func JobKey(job string) tmtable.Key {
	return tmtable.Key{Table: JobTable, Part: PartOf(job), Key: job}
}

// CancelKey returns the key of the row of the cancellation of a job.
func CancelKey(job string) tmtable.Key {
	return tmtable.Key{Table: JobTable, Part: PartOf(job), Key: job + cancelSuffix}
}

// OutcomeKey returns the key of the row of the outcome of a job in the table of jobs.
func OutcomeKey(job string) tmtable.Key {
	return tmtable.Key{Table: JobTable, Part: PartOf(job), Key: job + outcomeSuffix}
}

// ProgressKey returns the key of the row of the progress of a job.
func ProgressKey(job string) tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: job}
}

// OwnerOutcomeKey returns the key of an outcome in the owner's part, before it is
// moved to the table of jobs.
func OwnerOutcomeKey(job string) tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: job + outcomeSuffix}
}

// GuardKey returns the key of the guard row, which fences the writes of earlier
// owners. See Guard.
func GuardKey() tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: guardKey}
}

// OwnerKey returns the key of the row that says who owns the fleet.
func OwnerKey() tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: "owner"} }

// nodePrefix begins the keys of nodes in the table of the owner.
const nodePrefix = "node/"

// NodeKey returns the key of the row that a node publishes.
func NodeKey(name string) tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: nodePrefix + name} }

// IsNodeKey reports whether a key in the table of the owner belongs to a node.
func IsNodeKey(key string) bool { return strings.HasPrefix(key, nodePrefix) }

// wavePrefix begins the keys of the progress of waves in the table of the owner.
const wavePrefix = "wave/"

// WaveKey returns the key of the row with the progress of a wave.
func WaveKey(name string) tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: wavePrefix + name} }

// WaveName returns the name of the wave from the key of its row.
func WaveName(key string) string { return strings.TrimPrefix(key, wavePrefix) }

// WaveRange returns the range of the rows of all waves.
func WaveRange() tmtable.Range {
	return tmtable.Range{Table: OwnerTable, From: wavePrefix, To: "wave0"}
}

// JobRange returns the range of all rows of a job in the table of jobs.
func JobRange(job string) tmtable.Range {
	return tmtable.Range{Table: JobTable, Part: PartOf(job), From: job, To: job + jobRangeEnd}
}

// ProgressRange returns the range of all rows that the owner has written about a
// job.
func ProgressRange(job string) tmtable.Range {
	return tmtable.Range{Table: RunTable, Part: ownerPart, From: job, To: job + jobRangeEnd}
}

// Kind tells what a row of the table of jobs, or of the progress table, holds.
type Kind int

// Kinds of rows.
const (
	// JobRow is a job, or its progress in the progress table.
	JobRow Kind = iota
	CancelRow
	OutcomeRow
)

// ParseKey returns the kind of the row with the given key, and the job that it
// belongs to.
func ParseKey(key string) (Kind, string) {
	if job, ok := strings.CutSuffix(key, cancelSuffix); ok {
		return CancelRow, job
	}
	if job, ok := strings.CutSuffix(key, outcomeSuffix); ok {
		return OutcomeRow, job
	}
	return JobRow, key
}

// OrdersKey returns the key of the row with the instances that recent orders of the
// owner were about.
func OrdersKey() tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: ownerPart, Key: ordersKey}
}
