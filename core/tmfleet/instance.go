package tmfleet

import "fmt"

// Duty is the desired state of an instance, set by operators or by a
// maintenance wave.
type Duty int

// The duties of an instance. Only a Serving instance gets new tasks. A Draining
// instance runs its tasks to their end, and a Rebooting one reboots after that.
// A Leaving instance is being reclaimed by the platform or retired by operators.
const (
	Serving Duty = iota
	Draining
	Rebooting
	Leaving
)

var dutyNames = [...]string{"serving", "draining", "rebooting", "leaving"}

// String returns the name in snake_case.
func (d Duty) String() string {
	if d < 0 || int(d) >= len(dutyNames) {
		return fmt.Sprintf("duty_%d", int(d))
	}
	return dutyNames[d]
}

// ParseDuty returns the Duty with the given name.
func ParseDuty(name string) (Duty, error) {
	for i, n := range dutyNames {
		if n == name {
			return Duty(i), nil
		}
	}
	return 0, fmt.Errorf("tmfleet: unknown duty %q, expected one of %v", name, dutyNames)
}

// Instance is a machine that runs one endpoint. The pool is a single field, so
// an instance is in exactly one pool in every version of the State.
type Instance struct {
	name    string
	address string
	zone    string
	rack    string
	pool    string
	moveTo  string
	slots   int
	duty    Duty
}

// InstanceParams are the parameters of NewInstance.
type InstanceParams struct {
	// Name is unique, Address is the IP:port of the endpoint.
	Name, Address    string
	Zone, Rack, Pool string
	// MoveTo is the pool to which the instance moves once it is drained, or
	// empty.
	MoveTo string
	// Slots is the number of tasks that the endpoint runs at the same time.
	Slots int
	// Duty is the desired state, see type Duty.
	Duty Duty
}

// NewInstance returns an Instance.
func NewInstance(p InstanceParams) Instance {
	return Instance{
		name:    p.Name,
		address: p.Address,
		zone:    p.Zone,
		rack:    p.Rack,
		pool:    p.Pool,
		moveTo:  p.MoveTo,
		slots:   p.Slots,
		duty:    p.Duty,
	}
}

// Name returns the unique name.
func (i Instance) Name() string { return i.name }

// Address returns the IP:port of the endpoint.
func (i Instance) Address() string { return i.address }

// Zone returns the name of the availability zone.
func (i Instance) Zone() string { return i.zone }

// Rack returns the name of the rack.
func (i Instance) Rack() string { return i.rack }

// Pool returns the name of the pool that the instance is in.
func (i Instance) Pool() string { return i.pool }

// MoveTo returns the pool to which the instance moves once it is drained, or "".
func (i Instance) MoveTo() string { return i.moveTo }

// Slots returns the number of tasks that the endpoint runs at the same time.
func (i Instance) Slots() int { return i.slots }

// Duty returns the desired state of the instance.
func (i Instance) Duty() Duty { return i.duty }

// WithDuty returns a copy of i with another duty.
func (i Instance) WithDuty(d Duty) Instance {
	i.duty = d
	return i
}

// WithMoveTo returns a copy of i that moves to the given pool once it is
// drained. An empty pool cancels the move.
func (i Instance) WithMoveTo(pool string) Instance {
	i.moveTo = pool
	return i
}

// WithPool returns a copy of i that is in pool and is no longer being moved.
func (i Instance) WithPool(pool string) Instance {
	i.pool = pool
	i.moveTo = ""
	return i
}
