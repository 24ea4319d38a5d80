package tmpeer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// wireUpdate brings the demand that the receiver of a connection holds up to
// date. There are three forms: the whole demand has seq only; a change has base,
// the seq that it builds on, and the next seq; an unchanged demand has base
// only. The names of a change follow those that the connection has carried
// since the last whole demand. A row replaces the one of the same pool and
// team, and a row without demand removes it.
type wireUpdate struct {
	Seq  uint64 `json:"seq,omitempty"`
	Base uint64 `json:"base,omitempty"`
	wireDemand
}

// maxNames bounds the names that a connection keeps. Above it the next change
// is sent as the whole demand, which starts the names anew.
const maxNames = 4096

// demandSender turns the demand of each heartbeat on a connection into an
// update. Each connection starts with the whole demand, so a restarted peer
// gets all of it; so does a peer after a heartbeat that was not answered. It
// is safe for concurrent use.
type demandSender struct {
	mu    sync.Mutex
	last  uint64
	asked int
	// acked is the seq that the peer is known to hold; 0 when unknown. After a
	// heartbeat without an answer that is so until a seq above failed, the last
	// one at that time, is answered: the peer may hold any of those up to it.
	acked  uint64
	failed uint64
	known  Demand
	names  updateNames
}

type updateNames struct {
	pools, teams names
}

// sentUpdate is an update under way.
type sentUpdate struct {
	wire   wireUpdate
	demand Demand
	names  updateNames
}

// next returns the update to send for d. The caller reports its end to done.
// While another update is under way the whole demand is sent, because it is
// not known which of the two arrives first.
func (s *demandSender) next(d Demand) sentUpdate {
	d = normalized(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.acked == 0 || s.asked > 1 || s.names.size() > maxNames {
		s.last++
		u := sentUpdate{wire: wireUpdate{Seq: s.last}, demand: d}
		u.wire.wireDemand = u.names.rows(d)
		return u
	}
	u := sentUpdate{wire: wireUpdate{Base: s.acked}, demand: d, names: s.names}
	change := changeOf(s.known, d)
	if len(change.Cells)+len(change.Units) > 0 {
		s.last++
		u.wire.Seq = s.last
		u.wire.wireDemand = u.names.rows(change)
	}
	return u
}

// done records whether the peer has answered the heartbeat of an update.
func (s *demandSender) done(u sentUpdate, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked--
	switch {
	case !answered:
		s.acked, s.failed = 0, s.last
	case u.wire.Seq > max(s.acked, s.failed):
		s.acked, s.known, s.names = u.wire.Seq, u.demand, u.names
	}
}

func (n *updateNames) size() int { return len(n.pools.list) + len(n.teams.list) }

// rows encodes d with the names that the peer has not got yet.
func (n *updateNames) rows(d Demand) wireDemand {
	pools, teams := len(n.pools.list), len(n.teams.list)
	w := encodeRows(d, &n.pools, &n.teams)
	w.Pools, w.Teams = n.pools.list[pools:], n.teams.list[teams:]
	return w
}

// demandReceiver is the other end of a demandSender. It is safe for concurrent
// use. The slices of a Demand that it returned never change.
type demandReceiver struct {
	mu           sync.Mutex
	seq          uint64
	pools, teams []string
	demand       Demand
}

// apply returns the demand after an update. An update that arrives after a
// later one is ignored. It returns an error that wraps ErrProtocol for a form
// that is not known and for a change of something that this side doesn't hold;
// the sender then sends the whole demand.
func (r *demandReceiver) apply(u wireUpdate) (Demand, error) {
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

// replace takes a change or a whole demand.
func (r *demandReceiver) replace(u wireUpdate) (Demand, error) {
	var old Demand
	pools, teams := u.Pools, u.Teams
	if u.Base != 0 {
		old = r.demand
		pools = slices.Concat(r.pools, u.Pools)
		teams = slices.Concat(r.teams, u.Teams)
	}
	change, err := decodeDemand(wireDemand{Pools: pools, Teams: teams, Cells: u.Cells, Units: u.Units})
	if err != nil {
		return Demand{}, err
	}
	r.seq, r.pools, r.teams = u.Seq, pools, teams
	r.demand = Demand{
		Cells: merged(old.Cells, change.Cells, compareCells, Cell.empty),
		Units: merged(old.Units, change.Units, compareUnits, Units.empty),
	}
	return r.demand, nil
}

// merged returns old with the rows of change put in place. Both stay as they
// are.
func merged[T any](old, change []T, compare func(a, b T) int, empty func(T) bool) []T {
	out := slices.Clone(old)
	for _, row := range change {
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

func compareCells(a, b Cell) int {
	return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.Team, b.Team))
}

func compareUnits(a, b Units) int { return strings.Compare(a.Team, b.Team) }

func (c Cell) empty() bool { return c.Queued == 0 && c.Running == 0 }

func (u Units) empty() bool { return u.Unused == 0 }

// normalized returns d in order and without empty rows. It copies only what is
// not so already.
func normalized(d Demand) Demand {
	return Demand{
		Cells: normalizedRows(d.Cells, compareCells, Cell.empty),
		Units: normalizedRows(d.Units, compareUnits, Units.empty),
	}
}

func normalizedRows[T any](rows []T, compare func(a, b T) int, empty func(T) bool) []T {
	if slices.ContainsFunc(rows, empty) {
		rows = slices.DeleteFunc(slices.Clone(rows), empty)
	}
	if !slices.IsSortedFunc(rows, compare) {
		rows = slices.SortedFunc(slices.Values(rows), compare)
	}
	return rows
}

// changeOf returns the rows that lead from old to next.
func changeOf(old, next Demand) Demand {
	return Demand{
		Cells: changedRows(old.Cells, next.Cells, compareCells, func(c Cell) Cell {
			return Cell{Pool: c.Pool, Team: c.Team}
		}),
		Units: changedRows(old.Units, next.Units, compareUnits, func(u Units) Units {
			return Units{Team: u.Team}
		}),
	}
}

func changedRows[T comparable](old, next []T, compare func(a, b T) int, removed func(T) T) []T {
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
