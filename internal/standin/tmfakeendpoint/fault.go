package tmfakeendpoint

import (
	"encoding/json"
	"net/http"
	"time"

	"turmericmoor/core/tmclock"
)

// Faults are shown until they are taken back. Fields that a control call
// leaves out keep their values.
type Faults struct {
	// FailAll makes each task fail at once.
	FailAll bool `json:"fail_all"`
	// Hang delays each call until the fault is taken back.
	Hang bool `json:"hang"`
	// Cut ends the connection in the middle of a task's answer.
	Cut bool `json:"cut"`
	// DelayMs delays the answer of a task that has ended.
	DelayMs int64 `json:"delay_ms"`
	// LoseAfterRun ends the connection in place of a task's answer.
	LoseAfterRun bool `json:"lose_after_run"`
	// Cross gives each task the answer of the one that ended before it.
	Cross bool `json:"cross"`
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setFaults(f)
}

func (e *Endpoint) setFaults(f Faults) {
	if e.faults.Hang && !f.Hang {
		close(e.resumed)
		e.resumed = make(chan struct{})
	}
	e.faults = f
}

func (e *Endpoint) serveControl(w http.ResponseWriter, r *http.Request) {
	body := readBody(w, r)
	e.mu.Lock()
	next := e.faults
	err := json.Unmarshal(body, &next)
	if err == nil {
		e.setFaults(next)
	}
	e.mu.Unlock()
	if err != nil {
		failure(http.StatusBadRequest, "bad_request").send(w)
		return
	}
	ok(next).send(w)
}

// waitWhileHung returns when the endpoint doesn't hang, and ends the call when
// its client has left.
func (e *Endpoint) waitWhileHung(r *http.Request) {
	e.mu.Lock()
	hang, resumed := e.faults.Hang, e.resumed
	e.mu.Unlock()
	if !hang {
		return
	}
	select {
	case <-resumed:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-e.stop:
		panic(http.ErrAbortHandler)
	}
}

// sendFaulty sends the answer of a task as the faults have it.
func (e *Endpoint) sendFaulty(w http.ResponseWriter, r *http.Request, ans answer) {
	e.waitWhileHung(r)
	e.mu.Lock()
	faults := e.faults
	last := e.last
	own := ans
	e.last = &own
	e.mu.Unlock()
	if faults.Cross && last != nil {
		ans = *last
	}
	if faults.DelayMs > 0 && !e.pause(r, tmclock.Span(faults.DelayMs)) {
		panic(http.ErrAbortHandler)
	}
	if faults.LoseAfterRun {
		panic(http.ErrAbortHandler)
	}
	if faults.Cut {
		ans.sendHeader(w)
		_, _ = w.Write(ans.body[:len(ans.body)/2])
		// Without the flush the client would see no answer at all.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	ans.send(w)
}

func (e *Endpoint) pause(r *http.Request, d tmclock.Span) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
	case <-e.stop:
	}
	return false
}
