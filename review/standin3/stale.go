package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// staleRounds is how often the workers of a zone crash while writes are late.
	staleRounds = 5
	// staleShare is the share of the writes of workers that are late.
	staleShare = 0.35
	// staleWait is the pause between two rounds.
	staleWait = 10 * time.Second
)

// playStale plays writes of workers to the store, of their own entries, that are performed late
// while workers crash and start again under their ids. LATE=0 or CRASH=0 leaves one of
// the two out.
func playStale(w *world) int {
	if err := w.fleet(24, resources{CPU: 16000, Mem: 131072}); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	for i := range 12 {
		steps := []step{{Count: 8, CPU: 3500, Mem: 500, Estimate: 1000, Lasts: true}}
		if !w.submit(fmt.Sprintf("/watch/%016x", 0xa0+i), jobBody{Spec: "lasts", Steps: steps}) {
			return cannotRun
		}
	}
	time.Sleep(4 * time.Second)
	for round := range staleRounds {
		playStaleRound(w, fmt.Sprintf("z%d", round%2))
	}
	return w.judge.report()
}

// playStaleRound has some of the writes of workers late for 4.5 s. In these, the workers of a zone
// crash, and start again 1.5 s later.
func playStaleRound(w *world, zone string) {
	if trouble && os.Getenv("LATE") != "0" {
		w.note("%.2f of the writes of workers are late", staleShare)
		w.store.setLate(staleShare)
	}
	time.Sleep(3 * time.Second)
	var batch []*worker
	if trouble && os.Getenv("CRASH") != "0" {
		batch = w.workersOf(func(k *worker) bool { return k.zone == zone })
	}
	for _, k := range batch {
		k.crash()
	}
	time.Sleep(1500 * time.Millisecond)
	for _, k := range batch {
		k.start()
	}
	w.note("no write is late")
	w.store.setLate(0)
	time.Sleep(staleWait)
}
