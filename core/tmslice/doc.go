// Package tmslice divides the concurrency limit of each team among the
// entries, so that no team runs more tasks than its limit in the whole fleet
// (section 3.2 of the design page).
//
// An entry is a process that accepts requests and starts their tasks at
// endpoints; an incarnation is the ID of one start of that process. The slice of
// an entry is the part of a team's limit that the entry holds, counted in units.
// One unit allows one running task.
//
// The table service stores one Row per entry incarnation and the row Free, which
// has the units that no entry holds. For each team the sum of held and draining
// units over all rows, including Free, equals the team's limit. When a limit is
// lowered, the units removed from an entry are draining until no task of the
// entry uses them. As long as the units of the entries exceed the limit, Free is
// negative and no entry starts tasks of the team.
//
// A Ledger is fed the rows that its caller reads and returns the transactions
// for its caller to execute. It is deterministic: its decisions depend only on
// its inputs. It isn't safe for concurrent use.
package tmslice
