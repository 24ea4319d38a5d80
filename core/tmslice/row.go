package tmslice

import (
	"maps"

	"turmericmoor/core/tmfleet"
)

// Free is the key of the row with the unallocated units, which no entry holds.
const Free = "free"

// Holding is the part of one team's limit that one row has, in units. One unit
// allows one running task.
type Holding struct {
	// Held is the number of units that new tasks may use. In the row Free it is
	// negative while the held and draining units of the entries exceed the
	// limit.
	Held int
	// Draining is the number of units that were removed by a lowered limit and
	// may still be in use by tasks that were running then. It is always 0 in
	// the row Free.
	Draining int
	// LimitVersion is the version of the State that last changed the limit.
	LimitVersion uint64
}

// Row is one row of the table of slices at one revision. It is an immutable
// value.
type Row struct {
	key      string
	revision uint64
	teams    tmfleet.Table[string, Holding]
}

// NewRow returns a Row as read from the table. The key is an incarnation or
// Free. Revision 0 means that the row doesn't exist.
func NewRow(key string, revision uint64, teams tmfleet.Table[string, Holding]) Row {
	return Row{key: key, revision: revision, teams: teams}
}

// Key returns the incarnation of the entry, or Free.
func (r Row) Key() string { return r.key }

// Revision returns the revision at which the row was read.
func (r Row) Revision() uint64 { return r.revision }

// Teams returns the holdings by team.
func (r Row) Teams() tmfleet.Table[string, Holding] { return r.teams }

// Holding returns the part of the team's limit that the row has.
func (r Row) Holding(team string) Holding {
	h, _ := r.teams.Get(team)
	return h
}

// WithRevision returns a copy of r with the given revision.
func (r Row) WithRevision(revision uint64) Row {
	r.revision = revision
	return r
}

func (r Row) withHolding(team string, h Holding) Row {
	r.teams = r.teams.With(team, h)
	return r
}

// withHoldings returns a copy of r in which the given holdings replace those of
// the same teams.
func (r Row) withHoldings(edits map[string]Holding) Row {
	all := maps.Collect(r.teams.All())
	maps.Copy(all, edits)
	r.teams = tmfleet.NewTable(all)
	return r
}

// addHeld returns a copy of r with n more held units of the team. The limit
// version of the holding becomes version if that is higher; version is the limit
// version of the row that the units come from or go to.
func (r Row) addHeld(team string, n int, version uint64) Row {
	h := r.Holding(team)
	h.Held += n
	h.LimitVersion = max(h.LimitVersion, version)
	return r.withHolding(team, h)
}

// Check is a precondition of a transaction: the row has exactly this revision.
// Revision 0 means that the row must not exist.
type Check struct {
	Key      string
	Revision uint64
}

// Transaction is a compare-and-set over several rows.
type Transaction struct {
	Checks []Check
	// Writes are the rows to write, each with the revision that is checked.
	Writes []Row
	// Deletes are the keys of rows to delete.
	Deletes []string
}

// addWrite adds the write of a row and the check of its revision.
func (t *Transaction) addWrite(r Row) {
	t.Checks = append(t.Checks, Check{Key: r.key, Revision: r.revision})
	t.Writes = append(t.Writes, r)
}

// addDelete adds the deletion of a row and the check of its revision.
func (t *Transaction) addDelete(r Row) {
	t.Checks = append(t.Checks, Check{Key: r.key, Revision: r.revision})
	t.Deletes = append(t.Deletes, r.key)
}
