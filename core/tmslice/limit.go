package tmslice

import "fmt"

// LimitError says why a change of a limit can't be written.
type LimitError struct {
	Team   string
	Reason string
}

// Error names the team and the reason.
func (e *LimitError) Error() string {
	return fmt.Sprintf("tmslice: limit of team %q: %s", e.Team, e.Reason)
}

// LimitChange is a change of one team's limit.
type LimitChange struct {
	Team string
	// Old is the limit before, Limit the one after the change.
	Old, Limit int
	// Version is the version of the State that has the change.
	Version uint64
}

// RewriteLimit returns all rows as they have to be written in the transaction
// that writes the State with the new limit. Rows has the rows of all entries
// and Free, read before; each has to be checked for its revision. A missing
// Free is treated as an empty one. The error is a *LimitError.
//
// Lowering cuts each holding to floor(held*limit/old); the units cut from an
// entry become draining. Free gets the rest, which is negative until enough
// draining units have been settled. Raising adds the difference to Free.
func RewriteLimit(rows []Row, c LimitChange) ([]Row, error) {
	if c.Limit < 0 || c.Old < 0 {
		return nil, &LimitError{Team: c.Team, Reason: "negative limit, expected 0 or more"}
	}
	out := make([]Row, 0, len(rows)+1)
	free := NewRow(Free, 0, Row{}.teams)
	rest := c.Limit
	for _, r := range rows {
		if r.key == Free {
			free = r
			continue
		}
		h := cut(r.Holding(c.Team), c)
		rest -= h.Held + h.Draining
		out = append(out, r.with(c.Team, h))
	}
	if total := sum(rows, c.Team); total != c.Old {
		return nil, &LimitError{Team: c.Team, Reason: fmt.Sprintf("rows add up to %d, expected %d", total, c.Old)}
	}
	return append(out, free.with(c.Team, Holding{Held: rest, LimitVersion: c.Version})), nil
}

func cut(h Holding, c LimitChange) Holding {
	h.LimitVersion = c.Version
	if c.Limit >= c.Old {
		return h
	}
	held := h.Held * c.Limit / c.Old
	h.Draining += h.Held - held
	h.Held = held
	return h
}

func sum(rows []Row, team string) int {
	total := 0
	for _, r := range rows {
		h := r.Holding(team)
		total += h.Held + h.Draining
	}
	return total
}
