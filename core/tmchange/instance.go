package tmchange

import (
	"fmt"

	"turmericmoor/core/tmfleet"
)

func (c AddInstance) apply(d *draft) {
	ok := d.checkNewInstance(c)
	ok = d.checkAddress(c.Address) && ok
	ok = d.checkName("rack", c.Rack) && ok
	ok = checkRange(d, "slots", c.Slots, 1, MaxSlots) && ok
	if _, found := lookup(d, "zone", "zone", c.Zone, d.config.Zones()); !found {
		ok = false
	}
	if _, found := lookup(d, "pool", "pool", c.Pool, d.config.Pools()); !found {
		ok = false
	}
	if !ok {
		return
	}
	d.setInstance(tmfleet.NewInstance(tmfleet.InstanceParams{
		Name:    c.Name,
		Address: c.Address,
		Zone:    c.Zone,
		Rack:    c.Rack,
		Pool:    c.Pool,
		Slots:   c.Slots,
		Duty:    tmfleet.Serving,
	}))
}

func (d *draft) checkNewInstance(c AddInstance) bool {
	old, exists := d.config.Instances().Get(c.Name)
	if exists && old.Pool() != c.Pool {
		message := fmt.Sprintf("instance %q is in pool %q already", c.Name, old.Pool())
		d.reject(NameTaken, "name", message, "an instance in no pool, or move_instance")
		return false
	}
	return checkNew(d, "instance", "name", c.Name, d.config.Instances())
}

func (d *draft) setInstance(in tmfleet.Instance) {
	d.config = d.config.WithInstances(d.config.Instances().With(in.Name(), in))
	d.instanceChange[in.Name()] = d.index
}

func (d *draft) instance(name string) (tmfleet.Instance, bool) {
	return lookup(d, "instance", "name", name, d.config.Instances())
}

func (c RemoveInstance) apply(d *draft) {
	if _, ok := d.instance(c.Name); !ok {
		return
	}
	old, ok := d.before.Instances().Get(c.Name)
	leaving := ok && old.Duty() == tmfleet.Leaving
	if d.live(c.Name) && !leaving {
		message := fmt.Sprintf("instance %q is live and was not leaving before this request", c.Name)
		d.reject(WrongState, "name", message, "an instance that an earlier request marked as leaving")
		return
	}
	d.config = d.config.WithInstances(d.config.Instances().Without(c.Name))
}

func (c MoveInstance) apply(d *draft) {
	in, ok := d.instance(c.Name)
	if _, found := lookup(d, "pool", "to", c.To, d.config.Pools()); !found || !ok {
		return
	}
	if in.Pool() == c.To {
		d.reject(WrongState, "to", fmt.Sprintf("instance %q is in pool %q already", c.Name, c.To), "another pool")
		return
	}
	if in.MoveTo() != "" && in.MoveTo() != c.To {
		d.reject(WrongState, "to", fmt.Sprintf("instance %q is being moved to pool %q", c.Name, in.MoveTo()), "finish_move or mark_serving first")
		return
	}
	if in.Duty() != tmfleet.Serving {
		d.reject(WrongState, "name", fmt.Sprintf("instance %q is %s", c.Name, in.Duty()), "a serving instance")
		return
	}
	d.setInstance(in.WithMoveTo(c.To))
}

func (c FinishMove) apply(d *draft) {
	in, ok := d.instance(c.Name)
	if !ok {
		return
	}
	old, _ := d.before.Instances().Get(c.Name)
	if in.MoveTo() == "" || old.MoveTo() != in.MoveTo() {
		message := fmt.Sprintf("instance %q was not being moved before this request", c.Name)
		d.reject(WrongState, "name", message, "an instance that an earlier request started to move")
		return
	}
	d.setInstance(in.WithPool(in.MoveTo()))
}

func (c MarkLeaving) apply(d *draft) {
	if in, ok := d.instance(c.Name); ok {
		d.setInstance(in.WithMoveTo("").WithDuty(tmfleet.Leaving))
	}
}

func (c MarkDraining) apply(d *draft) {
	in, ok := d.instance(c.Name)
	if !ok {
		return
	}
	if in.MoveTo() != "" {
		d.reject(WrongState, "name", fmt.Sprintf("instance %q is being moved to pool %q", c.Name, in.MoveTo()), "finish_move or mark_serving first")
		return
	}
	if in.Duty() != tmfleet.Serving && in.Duty() != tmfleet.Draining {
		d.reject(WrongState, "name", fmt.Sprintf("instance %q is %s", c.Name, in.Duty()), "a serving instance")
		return
	}
	d.setInstance(in.WithDuty(tmfleet.Draining))
}

func (c MarkRebooting) apply(d *draft) {
	in, ok := d.instance(c.Name)
	if !ok {
		return
	}
	old, _ := d.before.Instances().Get(c.Name)
	drained := old.Duty() == tmfleet.Draining && in.Duty() == tmfleet.Draining
	if !drained && in.Duty() != tmfleet.Rebooting {
		message := fmt.Sprintf("instance %q is %s and was not draining before this request", c.Name, in.Duty())
		d.reject(WrongState, "name", message, "an instance that an earlier request marked as draining")
		return
	}
	d.setInstance(in.WithDuty(tmfleet.Rebooting))
}

func (c MarkServing) apply(d *draft) {
	if in, ok := d.instance(c.Name); ok {
		d.setInstance(in.WithMoveTo("").WithDuty(tmfleet.Serving))
	}
}
