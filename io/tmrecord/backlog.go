package tmrecord

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"

	"turmericmoor/core/tmadmit"
)

const (
	// maxBacklogs is how many queues the row of an owner lists with their backlog, and
	// maxBacklogBytes how many bytes that takes. Every node reads the row at each renewal.
	maxBacklogs     = 64
	maxBacklogBytes = 4000
)

// backlogRow holds the wait and the mean run time in ms, the work in core-ms and what drains it in
// thousandths of a core.
type backlogRow struct {
	Wait  float64 `json:"w"`
	Work  float64 `json:"a,omitempty"`
	Drain float64 `json:"d,omitempty"`
	Run   float64 `json:"r,omitempty"`
	// Teams is left out for all teams.
	Teams []string `json:"t,omitempty"`
}

// encodeBacklogs encodes the backlogs with the longest waits, without those that don't fit. The
// order of equal ones is that of the names of their queues.
func encodeBacklogs(backlogs map[string]tmadmit.Backlog) json.RawMessage {
	names := slices.SortedFunc(maps.Keys(backlogs), func(a, b string) int {
		return cmp.Or(-cmp.Compare(backlogs[a].Wait, backlogs[b].Wait), cmp.Compare(a, b))
	})
	rows := map[string]backlogRow{}
	size := len("{}")
	for _, name := range names {
		b := backlogs[name]
		row := backlogRow{Wait: math.Round(b.Wait), Work: math.Round(b.Work), Drain: math.Round(b.Drain * 1000), Run: math.Round(b.Run), Teams: b.Teams}
		if !row.isFinite() {
			continue
		}
		if len(rows) == maxBacklogs {
			break
		}
		if more := len(encode(map[string]backlogRow{name: row})); size+more <= maxBacklogBytes {
			size += more
			rows[name] = row
		}
	}
	if len(rows) == 0 {
		return nil
	}
	return encode(rows)
}

// isFinite reports whether the row can be encoded at all.
func (r backlogRow) isFinite() bool {
	for _, v := range []float64{r.Wait, r.Work, r.Drain, r.Run} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// decodeBacklogs decodes the backlogs of an owner. Those that can't be read count as absent: the
// row says who the owner is, whatever it says about backlogs.
func decodeBacklogs(data json.RawMessage) map[string]tmadmit.Backlog {
	var rows map[string]backlogRow
	if len(data) == 0 || json.Unmarshal(data, &rows) != nil || len(rows) == 0 {
		return nil
	}
	out := make(map[string]tmadmit.Backlog, len(rows))
	for name, r := range rows {
		out[name] = tmadmit.Backlog{Wait: r.Wait, Work: r.Work, Drain: r.Drain / 1000, Run: r.Run, Teams: r.Teams}
	}
	return out
}
