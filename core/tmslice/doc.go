// Package tmslice keeps one entry's slices of the upper limits of teams, so
// that no team runs more than its limit in the whole fleet (section 3.2 of the
// design page).
//
// The table service has one Row per entry incarnation and the row Free. For
// each team the sum of held and draining units of all rows, including Free,
// equals the team's limit. Units that a lowered limit took away from an entry
// are draining until the entry has no task left on them; Free is negative
// meanwhile, and no entry starts tasks of the team.
//
// A Ledger takes rows as they are read and returns transactions as data. It
// isn't safe for concurrent use. Its decisions depend only on its inputs.
package tmslice
