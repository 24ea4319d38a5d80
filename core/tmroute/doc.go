// Package tmroute chooses endpoints for tasks, judges their health, divides
// their slots among entries, and bounds retries.
//
// None of the types is safe for concurrent use, except that pure functions may
// be called from anywhere. All randomness comes from a seeded source, so a
// decision depends only on its inputs.
package tmroute
