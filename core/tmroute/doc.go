// Package tmroute selects endpoints for tasks, ejects endpoints that fail,
// divides endpoint slots among entries, and limits retries. An entry is a process
// that accepts requests from callers and starts their tasks at endpoints; a slot
// of an endpoint runs one task at a time.
//
// None of the types is safe for concurrent use; pure functions are. All
// randomness comes from a seeded source, so a decision depends only on its
// inputs.
package tmroute
