package maintenance_test

import (
	"testing"

	"turmericmoor/internal/measure/maintenance"
)

// BenchmarkRun prints all tables, also for the seeds that were held back.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		if err := maintenance.Run(b.Output()); err != nil {
			b.Fatal(err)
		}
	}
}
