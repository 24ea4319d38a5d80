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
	// AttemptHeld: the last attempt of a task waits, for at most max_ms, for an endpoint without recent failures there and in its rack: task, failures, max_ms.
	AttemptHeld Name = "attempt_held"
	// BacklogBegins: the predicted wait of new jobs of a queue is reported to the nodes from now on: queue, wait_ms, work_core_ms, cores, shard.
	BacklogBegins Name = "backlog_begins"
	// BacklogEnds: the predicted wait of new jobs of a queue, last wait_ms, is too short now to be reported: queue, wait_ms, shard.
	BacklogEnds Name = "backlog_ends"
	// BacklogProbe: a job that the backlog would refuse was admitted, as one of 16, so that a wait that is estimated too high is corrected: job, queue, shard, wait_ms, end_ms, bound_ms, age_ms.
	BacklogProbe Name = "backlog_probe"
	// BacklogRefused: a job was refused because it would end too late by the backlog of its queue, end_ms after its first attempt at this node: job, queue, shard, attempt, wait_ms, end_ms, bound_ms, retry_after_ms, age_ms.
	BacklogRefused Name = "backlog_refused"
	// BacklogRepeated: the backlog would refuse a job that is stored already, so that it was not refused: job, queue, shard, age_ms.
	BacklogRepeated Name = "backlog_repeated"
	// BacklogUnchecked: the backlog would refuse a job, but it may be stored already, or that could not be read, so that it was not refused: job, queue, shard, cause.
	BacklogUnchecked Name = "backlog_unchecked"
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
	// CapacityReserved: capacity of a full pool is kept for tasks that are too large for what is free, and other tasks start there only if they end before: job, step, pool, tasks, endpoints, after_ms.
	CapacityReserved Name = "capacity_reserved"
	// CheckpointsDropped: checkpoints were too long for the row of their tasks and are not stored, so that these tasks begin anew if the owner changes: job, page, tasks.
	CheckpointsDropped Name = "checkpoints_dropped"
	// ClientLimited: a client of a listener exceeded a limit and was refused or disconnected: kind, client, total; at most one line a second for each kind.
	ClientLimited Name = "client_limited"
	// ConfigInstalled: a configuration came into force for callers: version, row_version.
	ConfigInstalled Name = "config_installed"
	// EndpointAnswers: an endpoint answers for the first time, or answers again: endpoint, runs, ends.
	EndpointAnswers Name = "endpoint_answers"
	// EndpointAvoided: an endpoint gets no new tasks for a time, and then one as a trial, because several runs in a row failed on it: endpoint, failures, for_ms.
	EndpointAvoided Name = "endpoint_avoided"
	// EndpointCleared: an endpoint that was avoided on suspicion is fully used again: endpoint, why.
	EndpointCleared Name = "endpoint_cleared"
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
	// EndpointSlow: an endpoint gets no new tasks for a time, and then one as a trial, because its runs make slow progress (cause slow, with the highest ratio to the usual run time) or none (cause stalled): endpoint, cause, ratio, runs, for_ms.
	EndpointSlow Name = "endpoint_slow"
	// EndpointUnlisted: an endpoint disappeared from the list: endpoint, runs.
	EndpointUnlisted Name = "endpoint_unlisted"
	// InstanceMoves: a move of an instance to another pool was started: instance, from, to.
	InstanceMoves Name = "instance_moves"
	// InstanceOrder: an order for an instance was answered: instance, wave, pool, answer, token.
	InstanceOrder Name = "instance_order"
	// InstancesFailed: the list of instances could not be read: what, cause.
	InstancesFailed Name = "instances_failed"
	// InterferenceFound: tasks of a workload take that many times as long beside those of another, on the evidence of that many runs beside them, and placements take it into account: workload, beside, slowdown, evidence_runs.
	InterferenceFound Name = "interference_found"
	// InterferenceGone: a slowdown that was found no longer counts: workload, beside, slowdown.
	InterferenceGone Name = "interference_gone"
	// JobDeferred: a job goes behind others of its pool, which is full, because it can't meet its objective; it is logged once for each job: job, queue, team, class, end_ms.
	JobDeferred Name = "job_deferred"
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
	// PlacementsChanged: tasks were placed on other endpoints because of interference, since the last such line and in total: placements, total, effects.
	PlacementsChanged Name = "placements_changed"
	// PoolScarce: a pool has less free than its waiting jobs request, or has enough again, with the number of waiting jobs by class: pool, scarce, waiting, aged, meets, late, hopeless.
	PoolScarce Name = "pool_scarce"
	// PoolSized: the size or the wanted size of a pool changed: pool, have, want, idle, need_cpu, forecast_cpu.
	PoolSized Name = "pool_sized"
	// FleetDivided: the pools want more instances than there are, and get their targets: pool, have, want, timely, floor, target, instances.
	FleetDivided Name = "fleet_divided"
	// EndpointVacates: an endpoint gets no new tasks, so that its instance can move to another pool: endpoint, pool, runs, idle_in_ms.
	EndpointVacates Name = "endpoint_vacates"
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
	// RunInDoubt: an endpoint has crashed, and its next lifetime may carry out the start order of a run, of which unanswered sends have no answer; the task starts nowhere else until the next lifetime shows that it can't, or for_ms have passed: task, run, endpoint, sends, unanswered, for_ms.
	RunInDoubt Name = "run_in_doubt"
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
	// TaskCopied: a second copy of a straggling task was placed on an endpoint; the first, at the endpoint from, is expected to take expected_ms, others of its step took usual_ms: task, run, endpoint, from, expected_ms, usual_ms.
	TaskCopied Name = "task_copied"
	// TaskPaced: the pace of a best-effort task was changed: task, run, endpoint, percent, worst_of_target.
	TaskPaced Name = "task_paced"
	// TaskPlaced: a task was placed on an endpoint: task, run, endpoint, free_cpu, queue, team, rules, left.
	TaskPlaced Name = "task_placed"
	// TaskSuspected: an endpoint crashed under a task, which starts again in isolation: task, endpoint, crashes, suspicions.
	TaskSuspected Name = "task_suspected"
	// UpkeepDone: an instance of a wave is done, by its maintenance or because it does not exist: instance, wave, cause.
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
	AttemptHeld,
	BacklogBegins,
	BacklogEnds,
	BacklogProbe,
	BacklogRefused,
	BacklogRepeated,
	BacklogUnchecked,
	BeyondShare,
	CallerCancel,
	CallerRefused,
	CallerState,
	CallerSubmit,
	CapacityReserved,
	CheckpointsDropped,
	ClientLimited,
	ConfigInstalled,
	EndpointAnswers,
	EndpointAvoided,
	EndpointCleared,
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
	InterferenceFound,
	InterferenceGone,
	JobDeferred,
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
	PlacementsChanged,
	PoolScarce,
	PoolSized,
	FleetDivided,
	EndpointVacates,
	RecordIgnored,
	RenewalFailed,
	ResignationFailed,
	RowUnreadable,
	RulesInstalled,
	RunEnded,
	RunGone,
	RunInDoubt,
	RunLost,
	RunStopping,
	RunUnexplained,
	SettingsChanged,
	StartAnswer,
	StartsLimited,
	StoreFailed,
	StoreLost,
	StoreRegained,
	TaskCopied,
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
