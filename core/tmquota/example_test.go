package tmquota_test

import (
	"fmt"

	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmquota"
	"turmericmoor/core/tmshard"
)

// Each of two shards holds half of a limit of 8 cores. The second one needs 6 cores and
// gets what the first one doesn't use.
func Example() {
	limit := tmjob.Resources{CPU: 8000}
	var ledgers [2]*tmquota.Ledger
	for i := range ledgers {
		ledgers[i] = tmquota.New(tmshard.New(i, len(ledgers)))
		ledgers[i].SetLimit("crews", limit)
	}
	need := tmjob.Resources{CPU: 6000}
	for version := range int64(4) {
		ledgers[1].Short("crews", need, need)
		for i, l := range ledgers {
			l.Plan(nil, 1, 1)
			for _, row := range l.TakeRows(10) {
				l.Stored(row)
				ledgers[1-i].SetPeer(i, row, version+1)
			}
		}
		fmt.Println(ledgers[1].Allows("crews", need))
	}
	// Output:
	// false
	// true
	// true
	// true
}
