package tmpeer

import (
	"fmt"
	"slices"
)

// cellFields and unitFields are the numbers of integers in a row of Cells and in a
// row of Units of a wireDemand.
const (
	cellFields = 4
	unitFields = 2
)

// wireDemand is the encoding of a Demand. Cells has a row of four integers for each
// PoolTeamDemand: pool, team, queued, running. Units has a row of two for each
// Units: team, unused. Rows give a pool or team by its index in Pools or Teams, so
// that each name is sent once: demand makes up nearly all of the traffic between
// entries.
type wireDemand struct {
	Pools []string `json:"pools,omitempty"`
	Teams []string `json:"teams,omitempty"`
	Cells []int    `json:"cells,omitempty"`
	Units []int    `json:"units,omitempty"`
}

// IsZero reports whether w is empty. encoding/json calls it for a field with
// omitzero, so an answer without demand omits the field.
func (w wireDemand) IsZero() bool {
	return len(w.Pools)+len(w.Teams)+len(w.Cells)+len(w.Units) == 0
}

type wireHeartbeat struct {
	Version uint64           `json:"version"`
	Demand  wireDemandUpdate `json:"demand"`
	Aside   []string         `json:"aside,omitempty"`
	Leaving bool             `json:"leaving,omitempty"`
}

type wireHeartbeatAnswer struct {
	Version     uint64     `json:"version"`
	Incarnation string     `json:"incarnation"`
	Demand      wireDemand `json:"demand,omitzero"`
	Leaving     bool       `json:"leaving,omitempty"`
}

// nameTable assigns indexes to names in the order of their first use.
type nameTable struct {
	list  []string
	index map[string]int
}

// intern returns the index of name, adding it if needed.
func (n *nameTable) intern(name string) int {
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
	var pools, teams nameTable
	w := encodeRows(d, &pools, &teams)
	w.Pools, w.Teams = pools.list, teams.list
	return w
}

// encodeRows returns the rows of d without the lists of names. It adds names
// that are missing to pools and teams.
func encodeRows(d Demand, pools, teams *nameTable) wireDemand {
	var w wireDemand
	if len(d.PoolTeams) > 0 {
		w.Cells = make([]int, 0, cellFields*len(d.PoolTeams))
	}
	if len(d.Units) > 0 {
		w.Units = make([]int, 0, unitFields*len(d.Units))
	}
	for _, c := range d.PoolTeams {
		w.Cells = append(w.Cells, pools.intern(c.Pool), teams.intern(c.Team), c.Queued, c.Running)
	}
	for _, u := range d.Units {
		w.Units = append(w.Units, teams.intern(u.Team), u.Unused)
	}
	return w
}

// decodeDemand returns an error that wraps ErrProtocol if a row is incomplete
// or refers to a missing name.
func decodeDemand(w wireDemand) (Demand, error) {
	if len(w.Cells)%cellFields != 0 || len(w.Units)%unitFields != 0 {
		return Demand{}, fmt.Errorf("%w: demand with an incomplete row", ErrProtocol)
	}
	var d Demand
	for row := range slices.Chunk(w.Cells, cellFields) {
		if !validIndex(row[0], w.Pools) || !validIndex(row[1], w.Teams) {
			return Demand{}, fmt.Errorf("%w: demand cell of an unknown pool or team", ErrProtocol)
		}
		d.PoolTeams = append(d.PoolTeams, PoolTeamDemand{Pool: w.Pools[row[0]], Team: w.Teams[row[1]], Queued: row[2], Running: row[3]})
	}
	for row := range slices.Chunk(w.Units, unitFields) {
		if !validIndex(row[0], w.Teams) {
			return Demand{}, fmt.Errorf("%w: demand units of an unknown team", ErrProtocol)
		}
		d.Units = append(d.Units, Units{Team: w.Teams[row[0]], Unused: row[1]})
	}
	return d, nil
}

func validIndex(i int, list []string) bool {
	return i >= 0 && i < len(list)
}
