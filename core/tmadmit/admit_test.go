package tmadmit_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
)

var scans = tmadmit.Kind{Team: "crews", Queue: "scans"}

func ExampleEstimator() {
	e := tmadmit.NewEstimator()
	for range 50 {
		e.Observe(scans, 200)
	}
	fmt.Println(e.WorthStarting(scans, 50), e.WorthStarting(scans, 400))
	fmt.Println(e.WorthQueueing(scans, 3000, 10, 4), e.WorthQueueing(scans, 3000, 100, 4))
	// Output:
	// false true
	// true false
}

// Guards against refusals of work about which nothing is known.
func TestUnknownKindIsAdmitted(t *testing.T) {
	e := tmadmit.NewEstimator()
	assert.Assert(t, e.WorthStarting(scans, 1))
	assert.Assert(t, e.WorthQueueing(scans, 1, 1000, 1))
}

// Guards against an estimate that stays too high for ever, because refused
// work brings no observation.
func TestEstimateRecovers(t *testing.T) {
	e := tmadmit.NewEstimator()
	e.Observe(scans, 60*tmclock.Second)
	for i := range 2000 {
		if e.WorthStarting(scans, 500) {
			e.Observe(scans, 10)
		}
		if e.Needed(scans) < 500 {
			return
		}
		assert.Assert(t, i < 1999)
	}
}
