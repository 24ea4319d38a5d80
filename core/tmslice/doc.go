// Package tmslice divides the concurrency limit of each team among the
// entries, so that no team runs more tasks than its limit in the whole fleet
// (section 3.2 of the design page).
//
// The table service stores one Row per entry incarnation and the row Free. For
// each team the sum of held and draining units over all rows, including Free,
// equals the team's limit. Units removed from an entry by a lowered limit are
// draining until no task of the entry uses them. Until then Free is negative,
// and no entry starts tasks of the team.
//
// A Ledger is fed the rows that its caller reads and returns the transactions
// for its caller to execute. It is deterministic: its decisions depend only on
// its inputs. It isn't safe for concurrent use.
package tmslice
