// Package tmshare schedules the requests of one entry fairly among teams. It has
// queues with urgency and deadlines, the running counts of the whole fleet,
// weighted max-min division, and the selection of tasks to checkpoint.
//
// An entry is a process that accepts requests and starts their tasks at
// endpoints; its peers are the other entries. The slice of a team is the part of
// the team's limit that an entry may use, counted in units of one running task.
//
// None of the types is safe for concurrent use. The entry guards a Queue, its
// Usage and its Tasks with one lock.
package tmshare
