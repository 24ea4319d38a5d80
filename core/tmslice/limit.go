package tmslice

import "fmt"

// LimitError reports why a change of a limit can't be written.
type LimitError struct {
	Team   string
	Reason string
}

// Error returns a message with the team and the reason.
func (e *LimitError) Error() string {
	return fmt.Sprintf("tmslice: limit of team %q: %s", e.Team, e.Reason)
}

// LimitChange is a change of one team's limit.
type LimitChange struct {
	Team string
	// Old is the limit before the change, Limit the limit after it.
	Old, Limit int
	// Version is the version of the State that contains the change.
	Version uint64
}

// RewriteLimit returns all rows as they have to be written in the transaction
// that writes the State with the new limit. The argument rows contains the rows
// of all entries and Free as last read. The transaction has to check that each row
// still has the revision that was read. A missing Free is treated as an empty row.
// The error is a *LimitError.
//
// Lowering a limit reduces the held units of each entry to floor(held*limit/old).
// The units removed from an entry become draining. Free gets the limit minus the
// held and draining units of all entries, which is negative until enough draining
// units have been returned. Raising a limit adds the difference to Free.
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
		h := scaleHolding(r.Holding(c.Team), c)
		rest -= h.Held + h.Draining
		out = append(out, r.withHolding(c.Team, h))
	}
	if total := totalUnits(rows, c.Team); total != c.Old {
		return nil, &LimitError{Team: c.Team, Reason: fmt.Sprintf("rows add up to %d, expected %d", total, c.Old)}
	}
	return append(out, free.withHolding(c.Team, Holding{Held: rest, LimitVersion: c.Version})), nil
}

func scaleHolding(h Holding, c LimitChange) Holding {
	h.LimitVersion = c.Version
	if c.Limit >= c.Old {
		return h
	}
	held := h.Held * c.Limit / c.Old
	h.Draining += h.Held - held
	h.Held = held
	return h
}

func totalUnits(rows []Row, team string) int {
	total := 0
	for _, r := range rows {
		h := r.Holding(team)
		total += h.Held + h.Draining
	}
	return total
}
