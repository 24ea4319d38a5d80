package tmmetrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tminterference"
	"turmericmoor/io/tmguard"
)

type fixedSource map[int]tmcontrol.Dump

func (f fixedSource) Ready() bool                   { return true }
func (f fixedSource) Dumps() map[int]tmcontrol.Dump { return f }

// Guards against interference that operators can't see.
func TestInterferenceIsExported(t *testing.T) {
	dump := tmcontrol.Dump{Interference: tmcontrol.InterferenceDump{
		Changed: 7, Effects: []tminterference.Effect{{Workload: "a", Beside: "b", Slowdown: 1.5, Runs: 40}},
	}}
	w := httptest.NewRecorder()
	none := func() int64 { return 0 }
	guard := tmguard.New(tmguard.DefaultLimits(tmguard.Machine{}), func(tmguard.Kind, string, int64) {})
	defer guard.Close()
	New(fixedSource{3: dump}, none, none, guard).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		"# TYPE turmericmoor_node_interference_changed_placements_total counter",
		`turmericmoor_node_interference_changed_placements_total{shard="3"} 7`,
		`turmericmoor_node_interference_slowdown{beside="b",shard="3",workload="a"} 1.5`,
	} {
		assert.Assert(t, strings.Contains(w.Body.String(), line+"\n"), "%s is missing", line)
	}
}
