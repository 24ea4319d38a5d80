// Package tmevent defines the events of the decision log and documents the fields
// of each. The set of events is closed, because the metrics have a label value for
// each event.
package tmevent

// Name is the name of an event.
type Name string

// The events. The fields of each event follow the colon.
const (
	// AccessStale: the node stops or resumes serving callers because of the age of its configuration: stale, age_ms, version.
	AccessStale Name = "access_stale"
	// Advice: the placement policy answered a question: step, asked, good, valid_ms.
	Advice Name = "advice"
	// AdviceFailed: a question to the placement policy failed: step, cause.
	AdviceFailed Name = "advice_failed"
	// BeyondShare: a job runs only on capacity that other teams leave unused, because its team has exceeded its share: job, queue, team, share, rules.
	BeyondShare Name = "beyond_share"
	// CallerCancel: a cancellation was answered: job, queue, outcome, took_ms.
	CallerCancel Name = "caller_cancel"
	// CallerRefused: a call was refused before it reached a queue: path, status, cause, version.
	CallerRefused Name = "caller_refused"
	// CallerState: a query for the state of a job failed: job, queue, outcome, took_ms.
	CallerState Name = "caller_state"
	// CallerSubmit: a submission was answered: job, queue, outcome, took_ms.
	CallerSubmit Name = "caller_submit"
	// CheckpointsDropped: checkpoints were too long for the row of their tasks and are not stored, so that these tasks begin anew if the owner changes: job, page, tasks.
	CheckpointsDropped Name = "checkpoints_dropped"
	// ClientLimited: a client of a listener exceeded a limit and was refused or disconnected: kind, client, total; at most one line a second for each kind.
	ClientLimited Name = "client_limited"
	// ConfigInstalled: a configuration came into force for callers: version, row_version.
	ConfigInstalled Name = "config_installed"
	// EndpointAnswers: an endpoint answers for the first time, or answers again: endpoint, runs, ends.
	EndpointAnswers Name = "endpoint_answers"
	// EndpointAvoided: an endpoint gets no new tasks for a time because several runs in a row failed on it: endpoint, failures, for_ms.
	EndpointAvoided Name = "endpoint_avoided"
	// EndpointCrashed: the lifetime of an endpoint ended without planned work, starting is the number of tasks that may have crashed it by starting, blameless says that the cause was probably none of them: endpoint, zone, runs, starting, blameless, cause.
	EndpointCrashed Name = "endpoint_crashed"
	// EndpointDraining: an endpoint started draining: endpoint.
	EndpointDraining Name = "endpoint_draining"
	// EndpointIsolated: an endpoint was set aside for a suspect, until ended is true: endpoint, task, runs, ended.
	EndpointIsolated Name = "endpoint_isolated"
	// EndpointListed: an endpoint appeared in the list: endpoint, service, instance, zone.
	EndpointListed Name = "endpoint_listed"
	// EndpointLost: the lifetime of an endpoint has ended: endpoint, runs, cause.
	EndpointLost Name = "endpoint_lost"
	// EndpointRestarted: an endpoint restarted under the same id: endpoint, born.
	EndpointRestarted Name = "endpoint_restarted"
	// EndpointSilent: a call to an endpoint got no answer: endpoint, runs, cause.
	EndpointSilent Name = "endpoint_silent"
	// EndpointSlow: an endpoint gets no new tasks for a time because its runs make slow progress: endpoint, held_up, runs.
	EndpointSlow Name = "endpoint_slow"
	// EndpointUnlisted: an endpoint disappeared from the list: endpoint, runs.
	EndpointUnlisted Name = "endpoint_unlisted"
	// InstanceMoves: a move of an instance to another pool was started: instance, from, to.
	InstanceMoves Name = "instance_moves"
	// InstanceOrder: an order for an instance was answered: instance, wave, pool, answer, token.
	InstanceOrder Name = "instance_order"
	// InstancesFailed: the list of instances could not be read: what, cause.
	InstancesFailed Name = "instances_failed"
	// JobFinal: a job reached its final state: job, queue, team, state, cause.
	JobFinal Name = "job_final"
	// LayoutFailed: the number of shards could not be decided yet: cause.
	LayoutFailed Name = "layout_failed"
	// LayoutKnown: the number of shards of the fleet became known: shards.
	LayoutKnown Name = "layout_known"
	// LinesDropped: lines were dropped because the log writer was too slow: count.
	LinesDropped Name = "lines_dropped"
	// LinesLeftOut: lines of one event were omitted because they exceeded its rate limit: event, count.
	LinesLeftOut Name = "lines_left_out"
	// ListenerOpens: an address that was taken is served now: address, waited_ms.
	ListenerOpens Name = "listener_opens"
	// ListenerWaits: an address of the node is taken by another process, or no file descriptor is left, and is tried again: address, waited_ms, cause.
	ListenerWaits Name = "listener_waits"
	// NodeStarts: the node starts: zone, unknown_settings.
	NodeStarts Name = "node_starts"
	// NodeStops: the node was told to stop.
	NodeStops Name = "node_stops"
	// OccurrenceDone: all tasks of an occurrence are done: job, occurrence.
	OccurrenceDone Name = "occurrence_done"
	// OwnerDeposed: the owner found that a later owner exists: token, endpoint or by.
	OwnerDeposed Name = "owner_deposed"
	// OwnerEnded: the node no longer owns a shard: token, shard.
	OwnerEnded Name = "owner_ended"
	// OwnerLoaded: the owner has loaded all stored jobs of its shard: token, shard.
	OwnerLoaded Name = "owner_loaded"
	// OwnerSeen: the row of the owner of a shard has a new holder or token: holder, token, version, shard.
	OwnerSeen Name = "owner_seen"
	// OwnerWon: the node became the owner of a shard: token, before, shard.
	OwnerWon Name = "owner_won"
	// PageRefused: the store refused the row of some tasks of a job, which don't start until their row can be stored: job, page, tasks.
	PageRefused Name = "page_refused"
	// PoolSized: the size or the wanted size of a pool changed: pool, have, want, idle, need_cpu, forecast_cpu.
	PoolSized Name = "pool_sized"
	// RecordIgnored: stored progress matches no task of its job: job, step, index.
	RecordIgnored Name = "record_ignored"
	// RenewalFailed: the owner could not renew its row: token, cause, shard.
	RenewalFailed Name = "renewal_failed"
	// ResignationFailed: the owner could not release its row: token, cause, shard.
	ResignationFailed Name = "resignation_failed"
	// RowUnreadable: a row could not be decoded and was skipped: table, key, cause.
	RowUnreadable Name = "row_unreadable"
	// RulesInstalled: a configuration came into force for the owner: version, queues, teams.
	RulesInstalled Name = "rules_installed"
	// RunEnded: an endpoint reported the end of a run: task, run, endpoint, how, number.
	RunEnded Name = "run_ended"
	// RunGone: a run is known to be no longer active: task, run, endpoint, cause.
	RunGone Name = "run_gone"
	// RunLost: a run was lost with its endpoint: task, run, endpoint, at_work, cause.
	RunLost Name = "run_lost"
	// RunStopping: a stop of a run was requested: task, run, endpoint, why.
	RunStopping Name = "run_stopping"
	// RunUnexplained: an endpoint lists a run that belongs to no live job: task, run, endpoint.
	RunUnexplained Name = "run_unexplained"
	// SettingsChanged: the settings were reloaded: reason, applied, then restart_needed or, if they were not applied, cause.
	SettingsChanged Name = "settings_changed"
	// StartAnswer: a start order was not accepted: task, run, endpoint, answer, try.
	StartAnswer Name = "start_answer"
	// StartsLimited: the owner has fewer starts pending at a time because answers were late or missing, the last of them to this task: limit, pending, task, endpoint, answer, took_ms.
	StartsLimited Name = "starts_limited"
	// StoreFailed: a call to the store failed: what, cause, for outcomes also part.
	StoreFailed Name = "store_failed"
	// StoreLost: following a table of the store failed: what, cause.
	StoreLost Name = "store_lost"
	// StoreRegained: following a table of the store works again: what, lost_ms.
	StoreRegained Name = "store_regained"
	// TaskPaced: the pace of a best-effort task was changed: task, run, endpoint, percent, worst_of_target.
	TaskPaced Name = "task_paced"
	// TaskPlaced: a task was placed on an endpoint: task, run, endpoint, free_cpu, queue, team, rules, left.
	TaskPlaced Name = "task_placed"
	// TaskSuspected: an endpoint crashed under a task, which starts again in isolation: task, endpoint, crashes, suspicions.
	TaskSuspected Name = "task_suspected"
	// UpkeepDone: the maintenance of an instance is done: instance, wave.
	UpkeepDone Name = "upkeep_done"
	// WaveBegins: a maintenance wave began: wave, instances, bound, within_ms.
	WaveBegins Name = "wave_begins"
	// WaveDone: all instances of a maintenance wave are done: wave, took_ms.
	WaveDone Name = "wave_done"
	// ZoneOut: an availability zone was taken out of service or put back: zone, out.
	ZoneOut Name = "zone_out"
)

// All lists every event in alphabetical order.
var All = []Name{
	AccessStale,
	Advice,
	AdviceFailed,
	BeyondShare,
	CallerCancel,
	CallerRefused,
	CallerState,
	CallerSubmit,
	CheckpointsDropped,
	ClientLimited,
	ConfigInstalled,
	EndpointAnswers,
	EndpointAvoided,
	EndpointCrashed,
	EndpointDraining,
	EndpointIsolated,
	EndpointListed,
	EndpointLost,
	EndpointRestarted,
	EndpointSilent,
	EndpointSlow,
	EndpointUnlisted,
	InstanceMoves,
	InstanceOrder,
	InstancesFailed,
	JobFinal,
	LayoutFailed,
	LayoutKnown,
	LinesDropped,
	LinesLeftOut,
	ListenerOpens,
	ListenerWaits,
	NodeStarts,
	NodeStops,
	OccurrenceDone,
	OwnerDeposed,
	OwnerEnded,
	OwnerLoaded,
	OwnerSeen,
	OwnerWon,
	PageRefused,
	PoolSized,
	RecordIgnored,
	RenewalFailed,
	ResignationFailed,
	RowUnreadable,
	RulesInstalled,
	RunEnded,
	RunGone,
	RunLost,
	RunStopping,
	RunUnexplained,
	SettingsChanged,
	StartAnswer,
	StartsLimited,
	StoreFailed,
	StoreLost,
	StoreRegained,
	TaskPaced,
	TaskPlaced,
	TaskSuspected,
	UpkeepDone,
	WaveBegins,
	WaveDone,
	ZoneOut,
}

// Event is one line of the decision log.
type Event struct {
	Name Name
	// Fields alternates between field names and values.
	Fields []any
}
