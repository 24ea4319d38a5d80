package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lastingJob is the job whose tasks last, lastingTasks how many it has.
	lastingJob   = "00000000000000a0"
	lastingTasks = 4
	// maxIdle is for how long a task that lasts may be without a run: 6 s and 3 s, and a second for
	// the accuracy of the check. There is no disturbance, so that all of it is calm.
	maxIdle = 10 * time.Second
	// turnTime is how long short jobs come, and watchTime how long the tasks are watched.
	turnTime  = 5 * time.Second
	watchTime = 25 * time.Second
)

// playRelocate plays a wave of upkeep in a pool that is full of short tasks. A worker joins the pool.
// Without the disruption there is no wave.
func playRelocate(w *world) int {
	capacity := resources{CPU: 32000, Mem: 131072}
	if err := w.fleetWith(8, 0, capacity); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	lasting := []step{{Count: lastingTasks, CPU: 16000, Mem: 500, Estimate: 1000, Lasts: true, MayMiss: 1}}
	if !w.submit("/watch/"+lastingJob, jobBody{Spec: "lasts", Steps: lasting}) {
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { w.fillPool(&load) })
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		machines := w.machinesOf(lastingJob)
		w.note("the operator requests wave 1 for %v", machines)
		w.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 60, "upperBound": 1})
	}
	time.Sleep(500 * time.Millisecond)
	w.note("a machine joins the pool")
	w.addMachine("m-08", "svc", "z0", "r2", capacity)
	longest := w.watchLasting(watchTime)
	load.Wait()
	w.note("a task that lasts had no run for %v, while the pool was full", longest)
	fmt.Printf("a task that lasts had no run for %v, while the pool was full\n", longest.Round(100*time.Millisecond))
	if longest > maxIdle {
		return 1
	}
	return 0
}

// fillPool hands in short jobs for one turn, some three times what the pool can hold.
func (w *world) fillPool(calls *sync.WaitGroup) {
	end := time.Now().Add(turnTime)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(72 * time.Millisecond)
		calls.Go(func() {
			steps := []step{{Count: 48, CPU: 1000, Mem: 100, Estimate: 1000}}
			w.submit(fmt.Sprintf("/quick/%016x", 0x1000+n), jobBody{Spec: "ms=500-1500", Steps: steps})
		})
	}
}

// machinesOf returns the machines on which tasks of a job are at work.
func (w *world) machinesOf(job string) []string {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	found := map[string]bool{}
	var names []string
	for i := range lastingTasks {
		for _, k := range w.judge.active[fmt.Sprintf("%s.0.0.%d", job, i)] {
			if !found[k.machine] {
				found[k.machine] = true
				names = append(names, k.machine)
			}
		}
	}
	return names
}

// watchLasting returns the longest time for which a task that lasts had no run.
func (w *world) watchLasting(d time.Duration) time.Duration {
	longest := time.Duration(0)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := range lastingTasks {
			longest = max(longest, w.judge.idleFor(fmt.Sprintf("%s.0.0.%d", lastingJob, i)))
		}
	}
	return longest
}
