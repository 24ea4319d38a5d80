package tmslice

import (
	"maps"

	"turmericmoor/core/tmfleet"
)

// Free is the key of the row with the units that no entry holds.
const Free = "free"

// Holding is what one row has of one team's limit, in units. One unit is one
// running task.
type Holding struct {
	// Held units may be used for new tasks. In the row Free it is negative
	// while more units are held or draining than the limit has.
	Held int
	// Draining units were taken away by a lower limit and may still be in use
	// by tasks that were running then. Always 0 in the row Free.
	Draining int
	// LimitVersion is the version of the State that last changed the limit.
	LimitVersion uint64
}

// Row is one row of the table of slices, as of one revision. It is an
// immutable value.
type Row struct {
	key      string
	revision uint64
	teams    tmfleet.Table[string, Holding]
}

// NewRow returns a Row as it is read from the table. The key is an incarnation
// or Free. Revision 0 stands for a row that doesn't exist.
func NewRow(key string, revision uint64, teams tmfleet.Table[string, Holding]) Row {
	return Row{key: key, revision: revision, teams: teams}
}

// Key returns the incarnation of the entry, or Free.
func (r Row) Key() string { return r.key }

// Revision returns the revision that the row was read at.
func (r Row) Revision() uint64 { return r.revision }

// Teams returns the holdings by team.
func (r Row) Teams() tmfleet.Table[string, Holding] { return r.teams }

// Holding returns what the row has of the team's limit.
func (r Row) Holding(team string) Holding {
	h, _ := r.teams.Get(team)
	return h
}

// WithRevision returns a copy of r as of another revision.
func (r Row) WithRevision(revision uint64) Row {
	r.revision = revision
	return r
}

func (r Row) with(team string, h Holding) Row {
	r.teams = r.teams.With(team, h)
	return r
}

// withAll returns a copy of r with the given holdings in place of its own.
func (r Row) withAll(edits map[string]Holding) Row {
	all := maps.Collect(r.teams.All())
	maps.Copy(all, edits)
	r.teams = tmfleet.NewTable(all)
	return r
}

// add returns a copy of r with n more held units and the limit version of the
// row that the units come from or go to.
func (r Row) add(team string, n int, version uint64) Row {
	h := r.Holding(team)
	h.Held += n
	h.LimitVersion = max(h.LimitVersion, version)
	return r.with(team, h)
}

// Check is a condition of a transaction: the row has exactly this revision.
// Revision 0 means that the row must not exist.
type Check struct {
	Key      string
	Revision uint64
}

// Transaction is a compare-and-set over several rows.
type Transaction struct {
	Checks []Check
	// Writes are the rows to write. Their revisions are those checked.
	Writes []Row
	// Deletes are the keys of rows to delete.
	Deletes []string
}

// write adds a row to the transaction, with its check.
func (t *Transaction) write(r Row) {
	t.Checks = append(t.Checks, Check{Key: r.key, Revision: r.revision})
	t.Writes = append(t.Writes, r)
}

// remove adds the deletion of a row to the transaction, with its check.
func (t *Transaction) remove(r Row) {
	t.Checks = append(t.Checks, Check{Key: r.key, Revision: r.revision})
	t.Deletes = append(t.Deletes, r.key)
}
