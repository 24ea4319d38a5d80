package tmclock_test

import (
	"fmt"

	"turmericmoor/core/tmclock"
)

func ExampleManual() {
	clock := tmclock.NewManual(1000)
	start := clock.Now()
	clock.Advance(2 * tmclock.Second)
	fmt.Println(clock.Now().Sub(start))
	// Output: 2000ms
}
