// Package tmrecord defines the rows that store jobs, their progress and the
// ownership of the fleet, and encodes and decodes them. Field names in rows are
// short because a new owner reads every row again.
//
// A part is a partition of a table. A live job is the row KEY in the table of jobs of
// its shard, which has many parts so that submissions do not wait for each other. A
// cancellation is the row KEY.c in the same part. The owner of a shard writes to one
// part of other tables, so that a flush, the batch of changes that it writes at once, is
// one transaction in one part. In that part of the progress table the progress of a job
// is in pages, the rows KEY, KEY.p1, KEY.p2 and so on, and its outcome is the row KEY.d.
// Later the owner moves the outcome to
// the table of jobs, where the outcome replaces the job. What owners tell each other is
// in the same part of the table of shards, which all owners follow.
//
// Rows that belong to a shard are named by the index of the shard.
package tmrecord

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/io/tmtable"
)

// Names of the tables. RunTable holds what the owners write about jobs, OwnerTable the
// owners, the nodes and the number of shards, and ShardTable what owners tell each
// other: parts of the limits of teams, and the progress of waves.
const (
	jobTable   = "tm_job"
	RunTable   = "tm_run"
	OwnerTable = "tm_owner"
	ShardTable = "tm_shard"
)

const (
	cancelSuffix  = ".c"
	outcomeSuffix = ".d"
	// pageInfix is between the key of a job and the number of a page other than 0.
	pageInfix = ".p"
	// jobRangeEnd sorts after all suffixes of the rows of one job and before all
	// rows of the next.
	jobRangeEnd = "/"
	// guardKey is the key of the guard row, which the owner writes with every flush.
	guardKey = "!owner"
	// ordersKey is the key of the row with the instances that recent orders of the
	// owner were about.
	ordersKey = "!orders"
	// ownerPart begins the names of the parts that only the owner of a shard writes to.
	ownerPart = "own"
	// partCount is the number of parts that the jobs of a shard are spread over. All
	// processes of an installation must agree on it.
	partCount = 16
)

// suffix returns what the names of the shard with that index end with. The first shard
// has none, so that a fleet that is not divided has plain names.
func suffix(shard int) string {
	if shard == 0 {
		return ""
	}
	return strconv.Itoa(shard)
}

var partNames = func() []string {
	names := make([]string, partCount)
	for i := range names {
		names[i] = fmt.Sprintf("p%02d", i)
	}
	return names
}()

// Parts returns the names of all partitions of a table of jobs.
func Parts() []string { return partNames }

// JobTable returns the name of the table of the jobs of a shard.
func JobTable(shard int) string { return jobTable + suffix(shard) }

// OwnerPart returns the partition that only the owner of a shard writes to.
func OwnerPart(shard int) string { return ownerPart + suffix(shard) }

// OwnerParts returns the partitions of the owners of all shards.
func OwnerParts(count int) []string {
	parts := make([]string, count)
	for i := range parts {
		parts[i] = OwnerPart(i)
	}
	return parts
}

// ShardOfPart returns the index of the shard from the name of its owner's partition.
func ShardOfPart(part string) (int, bool) {
	text, ok := strings.CutPrefix(part, ownerPart)
	if !ok {
		return 0, false
	}
	if text == "" {
		return 0, true
	}
	index, err := strconv.Atoi(text)
	return index, err == nil && index > 0
}

// PartOf returns the partition of a table of jobs that holds the rows of a job.
func PartOf(job string) string { return partNames[xxhash.Sum64String(job)%partCount] }

func inJobTable(shard int, job, key string) tmtable.Key {
	return tmtable.Key{Table: JobTable(shard), Part: PartOf(job), Key: key}
}

func inOwnerPart(shard int, key string) tmtable.Key {
	return tmtable.Key{Table: RunTable, Part: OwnerPart(shard), Key: key}
}

// JobKey returns the key of the row of a live job.
func JobKey(shard int, job string) tmtable.Key { return inJobTable(shard, job, job) }

// CancelKey returns the key of the row of the cancellation of a job.
func CancelKey(shard int, job string) tmtable.Key { return inJobTable(shard, job, job+cancelSuffix) }

// OutcomeKey returns the key of the row of the outcome of a job in the table of jobs.
func OutcomeKey(shard int, job string) tmtable.Key { return inJobTable(shard, job, job+outcomeSuffix) }

// ProgressKey returns the key of the row of a page of the progress of a job.
func ProgressKey(shard int, job string, page int) tmtable.Key {
	if page == 0 {
		return inOwnerPart(shard, job)
	}
	return inOwnerPart(shard, job+pageInfix+strconv.Itoa(page))
}

// ParseProgressKey returns the job and the number of the page from the key of the row of a
// page.
func ParseProgressKey(key string) (job string, page int, ok bool) {
	job, number, found := strings.Cut(key, pageInfix)
	if !found {
		return key, 0, true
	}
	page, err := strconv.Atoi(number)
	return job, page, err == nil && page > 0
}

// OwnerOutcomeKey returns the key of an outcome in the owner's part, before it is
// moved to the table of jobs.
func OwnerOutcomeKey(shard int, job string) tmtable.Key { return inOwnerPart(shard, job+outcomeSuffix) }

// GuardKey returns the key of the guard row, which fences the writes of earlier
// owners. See Guard.
func GuardKey(shard int) tmtable.Key { return inOwnerPart(shard, guardKey) }

// OrdersKey returns the key of the row with the instances that recent orders of the
// owner were about.
func OrdersKey(shard int) tmtable.Key { return inOwnerPart(shard, ordersKey) }

const ownerKey = "owner"

// OwnerKey returns the key of the row that says who owns a shard.
func OwnerKey(shard int) tmtable.Key {
	return tmtable.Key{Table: OwnerTable, Key: ownerKey + suffix(shard)}
}

// ShardOfOwner returns the index of the shard from the key of the row of its owner.
func ShardOfOwner(key string) (int, bool) {
	text, ok := strings.CutPrefix(key, ownerKey)
	if !ok {
		return 0, false
	}
	return ShardOfPart(ownerPart + text)
}

// LayoutKey returns the key of the row with the number of shards.
func LayoutKey() tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: "layout"} }

// nodePrefix begins the keys of nodes in the table of the owner.
const nodePrefix = "node/"

// NodeKey returns the key of the row that a node publishes.
func NodeKey(name string) tmtable.Key { return tmtable.Key{Table: OwnerTable, Key: nodePrefix + name} }

// IsNodeKey reports whether a key in the table of the owner belongs to a node.
func IsNodeKey(key string) bool { return strings.HasPrefix(key, nodePrefix) }

// Prefixes of the keys in the table of shards.
const (
	wavePrefix  = "wave/"
	quotaPrefix = "quota/"
)

// WaveKey returns the key of the row with the progress of a shard's part of a wave.
func WaveKey(shard int, name string) tmtable.Key {
	return tmtable.Key{Table: ShardTable, Part: OwnerPart(shard), Key: wavePrefix + name}
}

// WaveName returns the name of the wave from the key of its row.
func WaveName(key string) (string, bool) { return strings.CutPrefix(key, wavePrefix) }

// QuotaKey returns the key of the row with a shard's part of the limit of a team.
func QuotaKey(shard int, team string) tmtable.Key {
	return tmtable.Key{Table: ShardTable, Part: OwnerPart(shard), Key: quotaPrefix + team}
}

// QuotaTeam returns the name of the team from the key of such a row.
func QuotaTeam(key string) (string, bool) { return strings.CutPrefix(key, quotaPrefix) }

// JobRange returns the range of all rows of a job in the table of jobs.
func JobRange(shard int, job string) tmtable.Range {
	return tmtable.Range{Table: JobTable(shard), Part: PartOf(job), From: job, To: job + jobRangeEnd}
}

// ProgressRange returns the range of the first rows that the owner has written about a job.
// The outcome is among them if there is one, and some page of the progress otherwise.
func ProgressRange(shard int, job string) tmtable.Range {
	return tmtable.Range{Table: RunTable, Part: OwnerPart(shard), From: job, To: job + jobRangeEnd, Limit: 2}
}

// Kind tells what a row of the table of jobs, or of the progress table, holds.
type Kind int

// Kinds of rows.
const (
	// JobRow is a job, or a page of its progress in the progress table.
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
	job, _, _ := strings.Cut(key, pageInfix)
	return JobRow, job
}
