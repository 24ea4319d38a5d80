package tmpeer

import (
	"fmt"
	"slices"
)

// cellFields and unitFields are the numbers per row of a wireDemand.
const (
	cellFields = 4
	unitFields = 2
)

// wireDemand carries each name once and refers to it by its index, because
// demand is nearly all of what entries send to each other. A row of cells is
// pool, team, queued, running; a row of units is team, unused.
type wireDemand struct {
	Pools []string `json:"pools,omitempty"`
	Teams []string `json:"teams,omitempty"`
	Cells []int    `json:"cells,omitempty"`
	Units []int    `json:"units,omitempty"`
}

// IsZero lets an answer without demand leave the field out.
func (w wireDemand) IsZero() bool {
	return len(w.Pools)+len(w.Teams)+len(w.Cells)+len(w.Units) == 0
}

type wireHeartbeat struct {
	Version uint64     `json:"version"`
	Demand  wireUpdate `json:"demand"`
	Aside   []string   `json:"aside,omitempty"`
	Leaving bool       `json:"leaving,omitempty"`
}

type wireHeartbeatAnswer struct {
	Version     uint64     `json:"version"`
	Incarnation string     `json:"incarnation"`
	Demand      wireDemand `json:"demand,omitzero"`
	Leaving     bool       `json:"leaving,omitempty"`
}

// names gives each name the index of its first use.
type names struct {
	list  []string
	index map[string]int
}

func (n *names) of(name string) int {
	i, ok := n.index[name]
	if !ok {
		if n.index == nil {
			n.index = map[string]int{}
		}
		i = len(n.list)
		n.index[name] = i
		n.list = append(n.list, name)
	}
	return i
}

func encodeDemand(d Demand) wireDemand {
	var pools, teams names
	w := encodeRows(d, &pools, &teams)
	w.Pools, w.Teams = pools.list, teams.list
	return w
}

// encodeRows returns the rows of d without names. It adds the names that are
// not in the lists yet.
func encodeRows(d Demand, pools, teams *names) wireDemand {
	var w wireDemand
	if len(d.Cells) > 0 {
		w.Cells = make([]int, 0, cellFields*len(d.Cells))
	}
	if len(d.Units) > 0 {
		w.Units = make([]int, 0, unitFields*len(d.Units))
	}
	for _, c := range d.Cells {
		w.Cells = append(w.Cells, pools.of(c.Pool), teams.of(c.Team), c.Queued, c.Running)
	}
	for _, u := range d.Units {
		w.Units = append(w.Units, teams.of(u.Team), u.Unused)
	}
	return w
}

// decodeDemand returns an error that wraps ErrProtocol when a row is not
// complete or refers to a name that is not there.
func decodeDemand(w wireDemand) (Demand, error) {
	if len(w.Cells)%cellFields != 0 || len(w.Units)%unitFields != 0 {
		return Demand{}, fmt.Errorf("%w: demand with an incomplete row", ErrProtocol)
	}
	var d Demand
	for row := range slices.Chunk(w.Cells, cellFields) {
		if !within(row[0], w.Pools) || !within(row[1], w.Teams) {
			return Demand{}, fmt.Errorf("%w: demand cell of an unknown pool or team", ErrProtocol)
		}
		d.Cells = append(d.Cells, Cell{Pool: w.Pools[row[0]], Team: w.Teams[row[1]], Queued: row[2], Running: row[3]})
	}
	for row := range slices.Chunk(w.Units, unitFields) {
		if !within(row[0], w.Teams) {
			return Demand{}, fmt.Errorf("%w: demand units of an unknown team", ErrProtocol)
		}
		d.Units = append(d.Units, Units{Team: w.Teams[row[0]], Unused: row[1]})
	}
	return d, nil
}

func within(i int, list []string) bool {
	return i >= 0 && i < len(list)
}
