// Package tmshare schedules the requests of one entry fairly among teams. It has
// queues with urgency and deadlines, the running counts of the whole fleet,
// weighted max-min division, and the selection of tasks to checkpoint.
//
// None of the types is safe for concurrent use. The entry guards a Queue, its
// Usage and its Tasks with one lock.
package tmshare
