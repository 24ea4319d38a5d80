// Package tmshare decides the order in which the teams of one entry start
// work: queues with urgency and deadlines, the running counts of the whole
// fleet, weighted max-min division, and the choice of a task to checkpoint.
//
// None of the types is safe for concurrent use. The entry guards a Queue, its
// Usage and its Tasks with one lock.
package tmshare
