package main

import (
	"fmt"
	"strings"
	"time"
)

// playWave plays a wave of upkeep over some machines of a pool. One of them joined the pool ten
// seconds before.
func playWave(w *world) int {
	if err := w.fleetWith(8, 0, resources{CPU: 16000, Mem: 131072}); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	steps := []step{{Count: 8, CPU: 2000, Mem: 500, Estimate: 1000, Lasts: true}}
	if !w.submit("/watch/00000000000000a0", jobBody{Spec: "lasts", Steps: steps}) {
		return cannotRun
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.note("machine m-08 joins the pool")
		w.addMachine("m-08", "svc", "z1", "r1", resources{CPU: 16000, Mem: 131072})
	}
	time.Sleep(10 * time.Second)
	machines := []string{"m-07", "m-04", "m-05", "m-06"}
	if trouble {
		machines[0] = "m-08"
	}
	w.note("the operator requests wave 1 for %v", machines)
	w.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 26, "upperBound": 2})
	for range 60 {
		time.Sleep(500 * time.Millisecond)
		status := string(w.store.get("status", "wave/1"))
		if !strings.Contains(status, "completed") {
			continue
		}
		left := w.cloud.withoutUpkeep(1, machines)
		w.note("status of wave 1: %s; upkeep has not begun on %v", status, left)
		fmt.Printf("status of wave 1: %s; upkeep has not begun on %v\n", status, left)
		if len(left) > 0 {
			return 1
		}
		return 0
	}
	w.note("wave 1 was not completed in 30 s")
	fmt.Println("wave 1 was not completed in 30 s")
	return cannotRun
}
