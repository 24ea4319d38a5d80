// Package fleetsim emulates the platform in memory, for tests that run whole fleets
// of nodes on a fake clock and check what endpoints ran and what callers were told.
// All of it is in test files.
package fleetsim
