// Package tmchange defines the typed changes that operators and maintenance
// waves make to a Config, validates them, and enforces the availability budgets
// of pools. All functions are pure and safe for concurrent use.
//
// # Availability budgets
//
// An instance is unavailable when it is draining, rebooting, leaving, being
// moved, in an availability zone that is out of service, or not live. Draining,
// rebooting, leaving and moving are planned unavailability. A request is refused
// when it newly makes an instance unavailable by plan and afterwards more
// instances of its pool would be unavailable than the budget permits. The check
// applies to the result of the whole request, so the order and combination of its
// changes make no difference. An instance that is already unavailable for another
// reason, for example because its zone is out of service, is not exempt: it would
// still be unavailable when that reason ends.
//
// zone_out is an emergency action of operators and is always permitted, even when
// it exceeds a budget. The instances of the zone count as unavailable, so further
// planned unavailability is refused until the zone is back in service.
//
// Some changes need an earlier one to be in force first and are refused in the
// same request with it: finish_move needs move_instance, remove_instance needs
// mark_leaving, and mark_rebooting needs mark_draining.
package tmchange

// Change is one change to a Config. The set of types is closed.
type Change interface {
	// Op returns the name of the change in snake_case.
	Op() string
	apply(d *draft)
}

// AddZone adds an availability zone that is in service.
type AddZone struct{ Name, Region string }

// ZoneOut takes an availability zone out of service. It is permitted for every
// known zone, regardless of budgets.
type ZoneOut struct{ Name string }

// ZoneIn puts an availability zone back into service.
type ZoneIn struct{ Name string }

// AddPool adds a pool without instances. MaxUnavailable is the availability
// budget in instances.
type AddPool struct {
	Name           string
	MaxUnavailable int
}

// RemovePool removes a pool that has neither instances nor queues.
type RemovePool struct{ Name string }

// SetBudget sets the availability budget of a pool in instances.
type SetBudget struct {
	Pool           string
	MaxUnavailable int
}

// AddQueue adds a queue that Pool serves. An Open queue accepts work without a
// key and attributes it to Team; Team is empty for other queues.
type AddQueue struct {
	Name, Pool string
	Open       bool
	Team       string
}

// RemoveQueue removes a queue.
type RemoveQueue struct{ Name string }

// AddTeam adds a team. Share is its relative weight, Limit the maximum number of
// tasks that it runs at a time in the whole fleet. Urgent permits urgent
// requests.
type AddTeam struct {
	Name         string
	Share, Limit int
	Urgent       bool
}

// RemoveTeam removes a team that has neither keys nor open queues.
type RemoveTeam struct{ Name string }

// SetShare sets the share of a team.
type SetShare struct {
	Team  string
	Share int
}

// SetLimit sets the maximum number of tasks that a team runs at a time.
type SetLimit struct {
	Team  string
	Limit int
}

// GrantKey authorizes the holder of a key to submit work for Team. Hash is the
// SHA-256 of the key in lower-case hex. Label is unique among all keys.
type GrantKey struct{ Hash, Team, Label string }

// WithdrawKey revokes the key with the given Hash or the given Label. Exactly one
// of the two is set.
type WithdrawKey struct{ Hash, Label string }

// AddInstance adds a serving instance to a pool.
type AddInstance struct {
	Name, Address    string
	Zone, Rack, Pool string
	Slots            int
}

// RemoveInstance removes an instance that is not live, or that was already
// leaving before the request.
type RemoveInstance struct{ Name string }

// MoveInstance starts to move a serving instance to another pool. The instance
// gets no new work until FinishMove completes the move or MarkServing cancels
// it.
type MoveInstance struct{ Name, To string }

// FinishMove puts an instance into the pool to which it is being moved. The
// caller must ensure that the version with the move is in force and that the
// endpoint runs no task.
type FinishMove struct{ Name string }

// MarkLeaving marks an instance that the platform reclaims or that operators
// retire. It cancels an unfinished move.
type MarkLeaving struct{ Name string }

// MarkDraining stops new work on a serving instance.
type MarkDraining struct{ Name string }

// MarkRebooting marks an instance as rebooting. The instance must have been
// draining before the request, or be rebooting already.
type MarkRebooting struct{ Name string }

// MarkServing returns an instance to service. It cancels an unfinished move.
type MarkServing struct{ Name string }

// The names of the changes, as Op returns them.
const (
	OpAddZone        = "add_zone"
	OpZoneOut        = "zone_out"
	OpZoneIn         = "zone_in"
	OpAddPool        = "add_pool"
	OpRemovePool     = "remove_pool"
	OpSetBudget      = "set_budget"
	OpAddQueue       = "add_queue"
	OpRemoveQueue    = "remove_queue"
	OpAddTeam        = "add_team"
	OpRemoveTeam     = "remove_team"
	OpSetShare       = "set_share"
	OpSetLimit       = "set_limit"
	OpGrantKey       = "grant_key"
	OpWithdrawKey    = "withdraw_key"
	OpAddInstance    = "add_instance"
	OpRemoveInstance = "remove_instance"
	OpMoveInstance   = "move_instance"
	OpFinishMove     = "finish_move"
	OpMarkLeaving    = "mark_leaving"
	OpMarkDraining   = "mark_draining"
	OpMarkRebooting  = "mark_rebooting"
	OpMarkServing    = "mark_serving"
)

// Op implements Change.
func (AddZone) Op() string { return OpAddZone }

// Op implements Change.
func (ZoneOut) Op() string { return OpZoneOut }

// Op implements Change.
func (ZoneIn) Op() string { return OpZoneIn }

// Op implements Change.
func (AddPool) Op() string { return OpAddPool }

// Op implements Change.
func (RemovePool) Op() string { return OpRemovePool }

// Op implements Change.
func (SetBudget) Op() string { return OpSetBudget }

// Op implements Change.
func (AddQueue) Op() string { return OpAddQueue }

// Op implements Change.
func (RemoveQueue) Op() string { return OpRemoveQueue }

// Op implements Change.
func (AddTeam) Op() string { return OpAddTeam }

// Op implements Change.
func (RemoveTeam) Op() string { return OpRemoveTeam }

// Op implements Change.
func (SetShare) Op() string { return OpSetShare }

// Op implements Change.
func (SetLimit) Op() string { return OpSetLimit }

// Op implements Change.
func (GrantKey) Op() string { return OpGrantKey }

// Op implements Change.
func (WithdrawKey) Op() string { return OpWithdrawKey }

// Op implements Change.
func (AddInstance) Op() string { return OpAddInstance }

// Op implements Change.
func (RemoveInstance) Op() string { return OpRemoveInstance }

// Op implements Change.
func (MoveInstance) Op() string { return OpMoveInstance }

// Op implements Change.
func (FinishMove) Op() string { return OpFinishMove }

// Op implements Change.
func (MarkLeaving) Op() string { return OpMarkLeaving }

// Op implements Change.
func (MarkDraining) Op() string { return OpMarkDraining }

// Op implements Change.
func (MarkRebooting) Op() string { return OpMarkRebooting }

// Op implements Change.
func (MarkServing) Op() string { return OpMarkServing }
