// Package fleetsim emulates the platform in memory, for tests that run whole fleets
// of nodes on a moved clock and judge them by what endpoints ran and what callers
// were told. All of it is in test files.
package fleetsim
