package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// lateRounds is how often a rack loses power while orders are late.
	lateRounds = 4
	// lateShare is the share of the orders to workers that are late.
	lateShare = 0.055
	// lateWait is longer than the longest time for which an order is held back.
	lateWait = 13 * time.Second
)

// playLate plays orders that are carried out late while the workers of a rack crash and start
// again under their ids. LATE=0 or CRASH=0 leaves one of the two out.
func playLate(w *world) int {
	if err := w.fleet(24, resources{CPU: 16000, Mem: 131072}); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	for i := range 4 {
		steps := []step{{Count: 8, CPU: 2000, Mem: 500, Estimate: 1000, Lasts: true}}
		if !w.submit(fmt.Sprintf("/watch/%016x", 0xa0+i), jobBody{Spec: "lasts", Steps: steps}) {
			return cannotRun
		}
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(80 * time.Millisecond):
			}
			load.Go(func() {
				steps := []step{{Count: 8, CPU: 2000, Mem: 500, Estimate: 1000}}
				w.submit(fmt.Sprintf("/quick/%016x", 0x1000+n), jobBody{Spec: fmt.Sprintf("ms=%d", 900+n%5*100), Steps: steps})
			})
		}
	})
	time.Sleep(6 * time.Second)
	for round := range lateRounds {
		playLateRound(w, fmt.Sprintf("r%d", round))
	}
	close(stop)
	load.Wait()
	return w.judge.report()
}

// playLateRound has some of the orders late for 5.5 s. In these, the machines of a rack lose power
// for 2 s. Then it waits until the last late order has arrived.
func playLateRound(w *world, rack string) {
	if trouble && os.Getenv("LATE") != "0" {
		w.setLate(lateShare)
	}
	time.Sleep(2 * time.Second)
	var batch []*worker
	if trouble && os.Getenv("CRASH") != "0" {
		batch = w.workersOf(func(k *worker) bool { return k.rack == rack })
	}
	for _, k := range batch {
		w.cloud.setState(k.machine, "down")
		k.crash()
	}
	time.Sleep(2 * time.Second)
	for _, k := range batch {
		k.start()
		w.cloud.setState(k.machine, "up")
	}
	time.Sleep(1500 * time.Millisecond)
	w.setLate(0)
	time.Sleep(lateWait)
}
