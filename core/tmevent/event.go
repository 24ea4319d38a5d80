// Package tmevent has the names of all events of the decision log, with the fields
// that each carries. The list is closed: metrics have a label value for each.
package tmevent

// Name is the name of an event.
type Name string

// Events.
const (
	// AccessStale: the node stops or resumes serving callers because of the age of its configuration: stale, age_ms, version.
	AccessStale Name = "access_stale"
	// Advice: the placement policy answered: step, asked, good, valid_ms.
	Advice Name = "advice"
	// AdviceFailed: a question to the placement policy failed: step, cause.
	AdviceFailed Name = "advice_failed"
	// BeyondShare: a job runs on what others leave, since its team is ahead of its share: job, queue, team, share, rules.
	BeyondShare Name = "beyond_share"
	// CallerCancel: a cancellation was answered: job, queue, outcome, took_ms.
	CallerCancel Name = "caller_cancel"
	// CallerRefused: a call was refused before it reached a queue: path, status, cause, version.
	CallerRefused Name = "caller_refused"
	// CallerState: the state of a job could not be told: job, queue, outcome, took_ms.
	CallerState Name = "caller_state"
	// CallerSubmit: a submission was answered: job, queue, outcome, took_ms.
	CallerSubmit Name = "caller_submit"
	// ConfigInstalled: a configuration is in force for callers: version, row_version.
	ConfigInstalled Name = "config_installed"
	// EndpointAnswers: an endpoint answers for the first time, or again: endpoint, runs, ends.
	EndpointAnswers Name = "endpoint_answers"
	// EndpointAvoided: an endpoint gets nothing new since runs fail there: endpoint, failures, for_ms.
	EndpointAvoided Name = "endpoint_avoided"
	// EndpointDraining: an endpoint is about to leave: endpoint.
	EndpointDraining Name = "endpoint_draining"
	// EndpointListed: an endpoint appeared in the list: endpoint, service, instance, zone.
	EndpointListed Name = "endpoint_listed"
	// EndpointLost: an endpoint is known to be gone: endpoint, runs, cause.
	EndpointLost Name = "endpoint_lost"
	// EndpointRestarted: an endpoint started again under its id: endpoint, born.
	EndpointRestarted Name = "endpoint_restarted"
	// EndpointSilent: a call to an endpoint got no answer: endpoint, runs, cause.
	EndpointSilent Name = "endpoint_silent"
	// EndpointSlow: an endpoint gets nothing new since tasks are held up there: endpoint, held_up, runs.
	EndpointSlow Name = "endpoint_slow"
	// EndpointUnlisted: an endpoint left the list: endpoint, runs.
	EndpointUnlisted Name = "endpoint_unlisted"
	// InstanceMoves: an instance is to move to another pool: instance, from, to.
	InstanceMoves Name = "instance_moves"
	// InstanceOrder: an order about an instance was answered: instance, wave, pool, answer, token.
	InstanceOrder Name = "instance_order"
	// InstancesFailed: the list of instances could not be read: cause.
	InstancesFailed Name = "instances_failed"
	// JobFinal: the outcome of a job is decided: job, queue, team, state, cause.
	JobFinal Name = "job_final"
	// LinesDropped: the log was too slow for some lines: count.
	LinesDropped Name = "lines_dropped"
	// LinesLeftOut: lines of one event above its rate were left out: event, count.
	LinesLeftOut Name = "lines_left_out"
	// NodeStarts: the node starts: zone, unknown_settings.
	NodeStarts Name = "node_starts"
	// NodeStops: the node was told to stop.
	NodeStops Name = "node_stops"
	// OccurrenceDone: all tasks of an occurrence are done: job, occurrence.
	OccurrenceDone Name = "occurrence_done"
	// OwnerDeposed: the owner found a later one: token, endpoint or by.
	OwnerDeposed Name = "owner_deposed"
	// OwnerEnded: the node no longer owns the fleet: token.
	OwnerEnded Name = "owner_ended"
	// OwnerLoaded: the owner has read all stored jobs: token.
	OwnerLoaded Name = "owner_loaded"
	// OwnerSeen: the row of the owner changed hands: holder, token, version.
	OwnerSeen Name = "owner_seen"
	// OwnerWon: the node owns the fleet: token, before.
	OwnerWon Name = "owner_won"
	// PoolSized: a pool is to have another number of instances: pool, have, want, idle, need_cpu, forecast_cpu.
	PoolSized Name = "pool_sized"
	// RecordIgnored: stored progress fits no task of its job: job, step, index.
	RecordIgnored Name = "record_ignored"
	// RenewalFailed: the owner could not renew its row: token, cause.
	RenewalFailed Name = "renewal_failed"
	// ResignationFailed: the owner could not leave its row: token, cause.
	ResignationFailed Name = "resignation_failed"
	// RowUnreadable: a row was passed over: table, key, cause.
	RowUnreadable Name = "row_unreadable"
	// RulesInstalled: a configuration is in force for the owner: version, queues, teams.
	RulesInstalled Name = "rules_installed"
	// RunEnded: an endpoint listed the end of a run: task, run, endpoint, how, number.
	RunEnded Name = "run_ended"
	// RunGone: a run is known not to be active: task, run, endpoint, cause.
	RunGone Name = "run_gone"
	// RunLost: a run ended with its endpoint: task, run, endpoint, cause.
	RunLost Name = "run_lost"
	// RunStopping: a run is to be stopped: task, run, endpoint, why.
	RunStopping Name = "run_stopping"
	// RunUnexplained: an endpoint lists a run that belongs to no live job: task, run, endpoint.
	RunUnexplained Name = "run_unexplained"
	// SettingsChanged: the settings were read again: reason, applied.
	SettingsChanged Name = "settings_changed"
	// StartAnswer: a start order was not accepted: task, run, endpoint, answer, try.
	StartAnswer Name = "start_answer"
	// StoreFailed: a call to the store failed: what, cause.
	StoreFailed Name = "store_failed"
	// StoreLost: following a table failed: what, cause.
	StoreLost Name = "store_lost"
	// StoreRegained: following a table works again: what, lost_ms.
	StoreRegained Name = "store_regained"
	// TaskPaced: a filling task is slowed or let go: task, run, endpoint, percent, worst_of_target.
	TaskPaced Name = "task_paced"
	// TaskPlaced: a task got a place: task, run, endpoint, free_cpu, queue, team, rules, left.
	TaskPlaced Name = "task_placed"
	// UpkeepDone: the maintenance of an instance is over: instance, wave.
	UpkeepDone Name = "upkeep_done"
	// WaveBegins: a maintenance wave was directed: wave, instances, bound, within_ms.
	WaveBegins Name = "wave_begins"
	// WaveDone: all instances of a wave are done: wave, took_ms.
	WaveDone Name = "wave_done"
	// ZoneOut: an availability zone was taken out or put back: zone, out.
	ZoneOut Name = "zone_out"
)

// All lists every event.
var All = []Name{
	AccessStale,
	Advice,
	AdviceFailed,
	BeyondShare,
	CallerCancel,
	CallerRefused,
	CallerState,
	CallerSubmit,
	ConfigInstalled,
	EndpointAnswers,
	EndpointAvoided,
	EndpointDraining,
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
	LinesDropped,
	LinesLeftOut,
	NodeStarts,
	NodeStops,
	OccurrenceDone,
	OwnerDeposed,
	OwnerEnded,
	OwnerLoaded,
	OwnerSeen,
	OwnerWon,
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
	StoreFailed,
	StoreLost,
	StoreRegained,
	TaskPaced,
	TaskPlaced,
	UpkeepDone,
	WaveBegins,
	WaveDone,
	ZoneOut,
}

// Event is one line of the decision log.
type Event struct {
	Name Name
	// Fields are pairs of a name and a value.
	Fields []any
}
