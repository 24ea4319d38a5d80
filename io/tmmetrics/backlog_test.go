package tmmetrics

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmcontrol"
)

// fullNode is a node that owns shard 2, in which jobs of q wait.
type fullNode struct{ Source }

func (fullNode) Ready() bool { return true }

func (fullNode) Dumps() map[int]tmcontrol.Dump {
	return map[int]tmcontrol.Dump{2: {Backlogs: map[string]tmadmit.Backlog{"q": {Wait: 12_250, Work: 196_000, Drain: 16}}}}
}

// Guards against operators who can't see why callers are refused.
func TestBacklogIsExported(t *testing.T) {
	r := prometheus.NewPedanticRegistry()
	r.MustRegister(newStateCollector(fullNode{}))
	families, err := r.Gather()
	assert.NilError(t, err)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			labels := ""
			for _, l := range m.GetLabel() {
				labels += " " + l.GetName() + "=" + l.GetValue()
			}
			got[f.GetName()+labels] = m.GetGauge().GetValue()
		}
	}
	assert.Equal(t, got[namespace+"_predicted_wait_seconds queue=q shard=2"], 12.25)
	assert.Equal(t, got[namespace+"_waiting_work_core_seconds queue=q shard=2"], 196.0)
}
