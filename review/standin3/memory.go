package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// Jobs for a later time come in bursts of burstTime at burstPerS a second: 2.6 times the site's 12.5
	// jobs a second, for 4 s. Between two of them none comes.
	bursts     = 10
	burstPerS  = 32
	burstTime  = 4 * time.Second
	burstPause = 3 * time.Second
	// plannedSteps is the number of steps of each of them with the disruption, and without it.
	plannedSteps, fewSteps = 900, 2
	// finishTime is after what time the jobs of the last traffic are asked for.
	finishTime = 14 * time.Second
)

// playMemory plays callers that hand in many large jobs for a later time. The process of a node
// that exceeds the memory of its machine is killed. Then ordinary jobs come.
func playMemory(w *world) int {
	if err := w.fleet(12, resources{CPU: 16000, Mem: 131072}); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	for _, n := range w.nodes {
		go w.limitMemory(n)
	}
	count := fewSteps
	if trouble {
		count = plannedSteps
	}
	planned := jobBody{Spec: "ms=500", Repeats: 1, StartAt: time.Now().Add(time.Hour).UnixMilli()}
	for i := range count {
		s := step{Count: 1, CPU: 100, Mem: 10, Estimate: 500}
		if i > 0 {
			s.After = []int{i - 1}
		}
		planned.Steps = append(planned.Steps, s)
	}
	const burstJobs = int(burstPerS * burstTime / time.Second)
	for b := range bursts {
		accepted := w.handIn(burstJobs, time.Second/burstPerS, func(n int) (string, jobBody) {
			return fmt.Sprintf("/quick/%016x", 0x100000+b*burstJobs+n), planned
		})
		w.note("burst %d: %d of %d planned jobs of %d steps accepted", b, len(accepted), burstJobs, count)
		time.Sleep(burstPause)
	}
	// The ordinary jobs come after the large ones.
	quick := jobBody{Spec: "ms=500", Steps: []step{{Count: 4, CPU: 1000, Mem: 100, Estimate: 500}}}
	ordinary := w.handIn(20, 500*time.Millisecond, func(n int) (string, jobBody) {
		return fmt.Sprintf("/quick/%016x", 0x1000+n), quick
	})
	time.Sleep(finishTime)
	return w.judgeMemory(ordinary)
}

// handIn hands jobs in at a steady rate, and returns the paths of those that were accepted.
func (w *world) handIn(n int, pause time.Duration, job func(n int) (string, jobBody)) []string {
	var mu sync.Mutex
	var accepted []string
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			path, body := job(i)
			if w.submit(path, body) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, path)
			}
		})
		time.Sleep(pause)
	}
	calls.Wait()
	return accepted
}

// judgeMemory counts the ordinary jobs that were accepted and of which no task has begun, though
// nearly all workers are idle. It also tells how often processes were killed.
func (w *world) judgeMemory(ordinary []string) int {
	for _, n := range w.nodes {
		w.note("%s was killed %d times for its memory", n.name, n.kills)
		fmt.Printf("%s was killed %d times for its memory\n", n.name, n.kills)
	}
	lost := 0
	for _, path := range ordinary {
		status, answer := 0, ""
		for _, n := range w.nodes {
			if status, answer = w.call(n, http.MethodGet, path, nil); status == http.StatusOK {
				break
			}
		}
		id := path[strings.LastIndex(path, "/")+1:]
		begun := w.judge.hasBegun(id)
		w.note("GET %s: %d %s, begun %t", path, status, answer, begun)
		if !begun {
			lost++
		}
	}
	w.note("%d of %d ordinary jobs that were accepted have not begun", lost, len(ordinary))
	fmt.Printf("%d of %d ordinary jobs that were accepted have not begun\n", lost, len(ordinary))
	switch {
	case len(ordinary) == 0:
		return cannotRun
	case lost > 0:
		return 1
	}
	return 0
}
