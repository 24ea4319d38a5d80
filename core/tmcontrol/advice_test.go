package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a step that never starts because its pool has more endpoints than a request
// for advice may name, and none of the first ones may run it.
func TestAdviceIsAskedAboutAllEndpoints(t *testing.T) {
	f := newFixture(t, 0)
	p := &pool{}
	for range maxAdviceEndpoints + 1 {
		p.endpoints = append(p.endpoints, newEndpoint(EndpointInfo{ID: string(rune(len(p.endpoints)))}))
	}
	f.c.Submitted(oneTask("j"))
	s := f.c.jobs["j"].open(0).steps[0]
	asked := map[string]bool{}
	for range 2 {
		f.c.requestAdvice(s, p)
		for _, q := range f.c.TakeAdviceRequests() {
			assert.Equal(t, len(q.Endpoints), maxAdviceEndpoints)
			for _, id := range q.Endpoints {
				asked[id] = true
			}
			f.c.Advised(q, nil, 0, f.now)
		}
	}
	assert.Equal(t, len(asked), len(p.endpoints))
}
