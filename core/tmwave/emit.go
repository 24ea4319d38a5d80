package tmwave

import "turmericmoor/core/tmfleet"

// emit appends the step that brings one instance closer to its mark. It
// depends only on the mark and on what was observed, so a step whose effect
// is missing is returned again, also by another leader.
func (t *turn) emit(name string) {
	in, ok := t.v.Config.Instances().Get(name)
	if !ok {
		return
	}
	m := t.marks[name]
	e := t.v.Endpoints[name]
	switch m.Phase {
	case Draining:
		t.emitDraining(in, m, e)
	case Rebooting, Failed:
		t.emitRebooting(in, m, e)
	case Returning, Waiting, Done, Skipped:
		t.emitService(in, m, e)
	}
}

func (t *turn) add(k Kind, name string, boots uint64) {
	t.steps = append(t.steps, Step{Kind: k, Instance: name, Boots: boots})
}

func (t *turn) emitDraining(in tmfleet.Instance, m Mark, e Endpoint) {
	switch {
	case in.Duty() == tmfleet.Serving:
		t.add(MarkDraining, in.Name(), m.Boots)
	case in.Duty() == tmfleet.Draining && e.State == EndpointServing:
		t.add(DrainEndpoint, in.Name(), m.Boots)
	}
}

func (t *turn) emitRebooting(in tmfleet.Instance, m Mark, e Endpoint) {
	back := e.Boots > m.Boots
	switch {
	case back && e.State == EndpointDraining:
		t.add(UndrainEndpoint, in.Name(), e.Boots)
	case back && e.State == EndpointServing && in.Duty() != tmfleet.Serving:
		t.add(MarkServing, in.Name(), e.Boots)
	case back || m.Phase == Failed:
	case in.Duty() == tmfleet.Draining:
		t.add(MarkRebooting, in.Name(), m.Boots)
	case in.Duty() == tmfleet.Rebooting && e.State == EndpointDraining:
		t.add(RebootEndpoint, in.Name(), m.Boots)
	case in.Duty() == tmfleet.Rebooting && e.State == EndpointServing:
		// The endpoint lost its drain, for example by a late undrain.
		t.add(DrainEndpoint, in.Name(), m.Boots)
	}
}

// emitService returns an instance to service. A drain by a leader that was
// replaced may arrive late, at an instance that serves; it is undone too.
func (t *turn) emitService(in tmfleet.Instance, m Mark, e Endpoint) {
	if t.opt.forgetReturn {
		return
	}
	if e.State == EndpointDraining && (m.Phase == Returning || in.Duty() == tmfleet.Serving) && in.MoveTo() == "" {
		t.add(UndrainEndpoint, in.Name(), e.Boots)
		return
	}
	if m.Phase == Returning && in.Duty() == tmfleet.Draining {
		t.add(MarkServing, in.Name(), e.Boots)
	}
}
