package tmpeer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// wireDemandUpdate updates the demand that the receiver of a connection holds.
// It has three forms:
//
//   - A full update has only seq and carries the whole demand.
//   - A delta has base, the seq of the demand to which it applies, and a new seq.
//     It carries the changed rows. Each replaces the row of the same pool and team;
//     a row without demand removes that row. Of the names it carries only new ones,
//     whose indexes continue those of the names sent on the connection since the
//     last full update.
//   - An update without changes has only base.
type wireDemandUpdate struct {
	Seq  uint64 `json:"seq,omitempty"`
	Base uint64 `json:"base,omitempty"`
	wireDemand
}

// maxNames bounds the names that are kept for a connection. If there are more, the
// next update is a full one, which starts with empty name tables.
const maxNames = 4096

// demandSender encodes the demand of each heartbeat on a connection as an update.
// It sends a full update first, so that a restarted peer gets the whole demand, and
// again after a heartbeat that was not answered. It is safe for concurrent use.
type demandSender struct {
	mu      sync.Mutex
	lastSeq uint64
	// inFlight is the number of updates that next has returned and for which done
	// has not been called yet.
	inFlight int
	// ackedSeq is the seq of the demand that the peer is known to hold, or 0 if that
	// is unknown. A heartbeat without an answer sets it to 0, because the peer may
	// then hold any seq up to unansweredSeq, the last seq sent at that time. The
	// answer to an update with a seq above unansweredSeq sets it again.
	ackedSeq      uint64
	unansweredSeq uint64
	ackedDemand   Demand
	ackedNames    demandNames
}

type demandNames struct {
	pools, teams nameTable
}

// pendingUpdate is an update whose heartbeat has not ended, with the demand and
// the names that the peer holds once it has applied the update.
type pendingUpdate struct {
	wire   wireDemandUpdate
	demand Demand
	names  demandNames
}

// next returns the update to send for d. The caller must call done when the
// heartbeat has ended. While another update is in flight, next returns a full
// update, because it is not known which of the two arrives first.
func (s *demandSender) next(d Demand) pendingUpdate {
	d = normalize(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	if s.ackedSeq == 0 || s.inFlight > 1 || s.ackedNames.size() > maxNames {
		s.lastSeq++
		u := pendingUpdate{wire: wireDemandUpdate{Seq: s.lastSeq}, demand: d}
		u.wire.wireDemand = u.names.encode(d)
		return u
	}
	u := pendingUpdate{wire: wireDemandUpdate{Base: s.ackedSeq}, demand: d, names: s.ackedNames}
	delta := diffDemand(s.ackedDemand, d)
	if len(delta.PoolTeams)+len(delta.Units) > 0 {
		s.lastSeq++
		u.wire.Seq = s.lastSeq
		u.wire.wireDemand = u.names.encode(delta)
	}
	return u
}

// done records the end of a heartbeat and whether the peer has answered it.
func (s *demandSender) done(u pendingUpdate, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch {
	case !answered:
		s.ackedSeq, s.unansweredSeq = 0, s.lastSeq
	case u.wire.Seq > max(s.ackedSeq, s.unansweredSeq):
		s.ackedSeq, s.ackedDemand, s.ackedNames = u.wire.Seq, u.demand, u.names
	}
}

func (n *demandNames) size() int { return len(n.pools.list) + len(n.teams.list) }

// encode encodes d with the names that n doesn't have yet, and adds them to n.
func (n *demandNames) encode(d Demand) wireDemand {
	pools, teams := len(n.pools.list), len(n.teams.list)
	w := encodeRows(d, &n.pools, &n.teams)
	w.Pools, w.Teams = n.pools.list[pools:], n.teams.list[teams:]
	return w
}

// demandReceiver applies the updates of the demandSender at the other end of a
// connection. It is safe for concurrent use. It never modifies the slices of a
// Demand that it has returned.
type demandReceiver struct {
	mu           sync.Mutex
	seq          uint64
	pools, teams []string
	demand       Demand
}

// apply applies an update and returns the resulting demand. An update that arrives
// after a later one is ignored. For an update of an invalid form, or one on a base
// that this side doesn't hold, the error wraps ErrProtocol, after which the sender
// sends a full update.
func (r *demandReceiver) apply(u wireDemandUpdate) (Demand, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := len(u.Pools) + len(u.Teams) + len(u.Cells) + len(u.Units)
	switch {
	case u.Seq == 0 && (u.Base == 0 || rows > 0), u.Seq != 0 && u.Seq <= u.Base:
		return Demand{}, fmt.Errorf("%w: demand update with seq %d, base %d and %d fields", ErrProtocol, u.Seq, u.Base, rows)
	case max(u.Seq, u.Base) < r.seq, u.Seq != 0 && u.Seq == r.seq:
		return r.demand, nil
	case u.Seq == 0 && u.Base == r.seq:
		return r.demand, nil
	case u.Base != 0 && u.Base != r.seq:
		return Demand{}, fmt.Errorf("%w: demand update on base %d, expected %d", ErrProtocol, u.Base, r.seq)
	}
	return r.replace(u)
}

// replace replaces the demand by the result of a delta or of a full update.
func (r *demandReceiver) replace(u wireDemandUpdate) (Demand, error) {
	var old Demand
	pools, teams := u.Pools, u.Teams
	if u.Base != 0 {
		old = r.demand
		pools = slices.Concat(r.pools, u.Pools)
		teams = slices.Concat(r.teams, u.Teams)
	}
	delta, err := decodeDemand(wireDemand{Pools: pools, Teams: teams, Cells: u.Cells, Units: u.Units})
	if err != nil {
		return Demand{}, err
	}
	r.seq, r.pools, r.teams = u.Seq, pools, teams
	r.demand = Demand{
		PoolTeams: mergeRows(old.PoolTeams, delta.PoolTeams, comparePoolTeams, PoolTeamDemand.empty),
		Units:     mergeRows(old.Units, delta.Units, compareUnits, Units.empty),
	}
	return r.demand, nil
}

// mergeRows returns old with the rows of delta applied. It modifies neither.
func mergeRows[T any](old, delta []T, compare func(a, b T) int, empty func(T) bool) []T {
	out := slices.Clone(old)
	for _, row := range delta {
		i, found := slices.BinarySearchFunc(out, row, compare)
		switch {
		case found && empty(row):
			out = slices.Delete(out, i, i+1)
		case found:
			out[i] = row
		case !empty(row):
			out = slices.Insert(out, i, row)
		}
	}
	return out
}

func comparePoolTeams(a, b PoolTeamDemand) int {
	return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.Team, b.Team))
}

func compareUnits(a, b Units) int { return strings.Compare(a.Team, b.Team) }

func (c PoolTeamDemand) empty() bool { return c.Queued == 0 && c.Running == 0 }

func (u Units) empty() bool { return u.Unused == 0 }

// normalize returns d sorted and without empty rows. It copies only those slices
// that are not normalized already.
func normalize(d Demand) Demand {
	return Demand{
		PoolTeams: normalizeRows(d.PoolTeams, comparePoolTeams, PoolTeamDemand.empty),
		Units:     normalizeRows(d.Units, compareUnits, Units.empty),
	}
}

func normalizeRows[T any](rows []T, compare func(a, b T) int, empty func(T) bool) []T {
	if slices.ContainsFunc(rows, empty) {
		rows = slices.DeleteFunc(slices.Clone(rows), empty)
	}
	if !slices.IsSortedFunc(rows, compare) {
		rows = slices.SortedFunc(slices.Values(rows), compare)
	}
	return rows
}

// diffDemand returns the delta from old to next: the changed rows, and an empty
// row for each row that only old has.
func diffDemand(old, next Demand) Demand {
	return Demand{
		PoolTeams: diffRows(old.PoolTeams, next.PoolTeams, comparePoolTeams, func(c PoolTeamDemand) PoolTeamDemand {
			return PoolTeamDemand{Pool: c.Pool, Team: c.Team}
		}),
		Units: diffRows(old.Units, next.Units, compareUnits, func(u Units) Units {
			return Units{Team: u.Team}
		}),
	}
}

// diffRows compares two sorted lists. For a row that only old has, it adds the
// result of removed.
func diffRows[T comparable](old, next []T, compare func(a, b T) int, removed func(T) T) []T {
	var out []T
	for len(old) > 0 || len(next) > 0 {
		order := 0
		switch {
		case len(old) == 0:
			order = 1
		case len(next) == 0:
			order = -1
		default:
			order = compare(old[0], next[0])
		}
		switch {
		case order < 0:
			out = append(out, removed(old[0]))
		case order > 0 || old[0] != next[0]:
			out = append(out, next[0])
		}
		if order <= 0 {
			old = old[1:]
		}
		if order >= 0 {
			next = next[1:]
		}
	}
	return out
}
