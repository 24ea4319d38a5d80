package tmwave

import "turmericmoor/core/tmfleet"

// emit appends the next step that moves one instance toward its phase, if one
// is needed. The step depends only on the recorded progress and on the observed
// state, so a step that had no effect is returned again, also by another leader.
func (t *round) emit(name string) {
	in, ok := t.view.Config.Instances().Get(name)
	if !ok {
		return
	}
	m := t.instances[name]
	e := t.view.Endpoints[name]
	switch m.Phase {
	case Draining:
		t.emitDraining(in, m, e)
	case Rebooting, Failed:
		t.emitRebooting(in, m, e)
	case Returning, Waiting, Done, Skipped:
		t.emitReturn(in, m, e)
	}
}

func (t *round) addStep(k StepKind, name string, boots uint64) {
	t.steps = append(t.steps, Step{Kind: k, Instance: name, Boots: boots})
}

func (t *round) emitDraining(in tmfleet.Instance, m InstanceProgress, e Endpoint) {
	switch {
	case in.Duty() == tmfleet.Serving:
		t.addStep(MarkDraining, in.Name(), m.Boots)
	case in.Duty() == tmfleet.Draining && e.State == EndpointServing:
		t.addStep(DrainEndpoint, in.Name(), m.Boots)
	}
}

func (t *round) emitRebooting(in tmfleet.Instance, m InstanceProgress, e Endpoint) {
	rebooted := e.Boots > m.Boots
	switch {
	case rebooted && e.State == EndpointDraining:
		t.addStep(UndrainEndpoint, in.Name(), e.Boots)
	case rebooted && e.State == EndpointServing && in.Duty() != tmfleet.Serving:
		t.addStep(MarkServing, in.Name(), e.Boots)
	case rebooted || m.Phase == Failed:
	case in.Duty() == tmfleet.Draining:
		t.addStep(MarkRebooting, in.Name(), m.Boots)
	case in.Duty() == tmfleet.Rebooting && e.State == EndpointDraining:
		t.addStep(RebootEndpoint, in.Name(), m.Boots)
	case in.Duty() == tmfleet.Rebooting && e.State == EndpointServing:
		// The endpoint is no longer draining, for example after a delayed undrain.
		t.addStep(DrainEndpoint, in.Name(), m.Boots)
	}
}

// emitReturn returns an instance to service. It also undoes a drain that a
// replaced leader sent and that reached a serving instance late.
func (t *round) emitReturn(in tmfleet.Instance, m InstanceProgress, e Endpoint) {
	if t.opt.noReturn {
		return
	}
	if e.State == EndpointDraining && (m.Phase == Returning || in.Duty() == tmfleet.Serving) && in.MoveTo() == "" {
		t.addStep(UndrainEndpoint, in.Name(), e.Boots)
		return
	}
	if m.Phase == Returning && in.Duty() == tmfleet.Draining {
		t.addStep(MarkServing, in.Name(), e.Boots)
	}
}
