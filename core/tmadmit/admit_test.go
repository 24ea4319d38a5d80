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
	fmt.Println(e.ShouldStart(scans, 50), e.ShouldStart(scans, 400))
	fmt.Println(e.ShouldQueue(scans, 3000, 10, 4), e.ShouldQueue(scans, 3000, 100, 4))
	// Output:
	// false true
	// true false
}

// TestUnknownKindIsAdmitted guards against refusals of a kind without
// observations.
func TestUnknownKindIsAdmitted(t *testing.T) {
	e := tmadmit.NewEstimator()
	assert.Assert(t, e.ShouldStart(scans, 1))
	assert.Assert(t, e.ShouldQueue(scans, 1, 1000, 1))
}

// TestTooHighEstimateIsCorrected guards against an estimate that stays too high,
// because refused requests lead to no observations.
func TestTooHighEstimateIsCorrected(t *testing.T) {
	e := tmadmit.NewEstimator()
	e.Observe(scans, 60*tmclock.Second)
	for i := range 2000 {
		if e.ShouldStart(scans, 500) {
			e.Observe(scans, 10)
		}
		if e.UpperEstimate(scans) < 500 {
			return
		}
		assert.Assert(t, i < 1999)
	}
}
