package judge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a check that misses endpoints out of service at the same time.
func TestBudget(t *testing.T) {
	events := []Event{
		{AtMs: 1, Endpoint: "a", Kind: "drain"},
		{AtMs: 2, Endpoint: "a", Kind: "reboot"},
		{AtMs: 3, Endpoint: "a", Kind: "boot"},
		{AtMs: 4, Endpoint: "b", Kind: "drain"},
		{AtMs: 6, Endpoint: "b", Kind: "undrain"},
	}
	h := History{Events: events, Budgets: []Budget{{Pool: "p", Endpoints: []string{"a", "b"}, MaxUnavailable: 1}}}
	assert.Equal(t, len(checkBudgets(h)), 0)
	h.Events[2].AtMs = 5
	assert.Equal(t, len(checkBudgets(h)), 1)
}
