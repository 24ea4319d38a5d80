package tmfakeendpoint

import (
	"encoding/json"
	"net/http"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
)

// lease holds slots for a holder. It lapses when it is not renewed for
// LeaseTime: then it holds the slots of its running tasks only.
type lease struct {
	id      string
	holder  string
	slots   int
	running int
	renewed tmclock.Millis
	// released leases can't be renewed and end with their last task.
	released bool
	nonces   map[string]tmclock.Millis
}

func (l *lease) lapsed(now tmclock.Millis) bool {
	return l.released || now.Sub(l.renewed) > LeaseTime
}

// issue returns a new nonce and forgets those that are too old.
func (l *lease) issue(now tmclock.Millis) string {
	for nonce, at := range l.nonces {
		if now.Sub(at) > LeaseTime {
			delete(l.nonces, nonce)
		}
	}
	nonce := uuid.NewString()
	l.nonces[nonce] = now
	return nonce
}

func (l *lease) valid(nonce string, now tmclock.Millis) bool {
	at, known := l.nonces[nonce]
	return known && now.Sub(at) <= LeaseTime
}

type leaseRequest struct {
	Holder string `json:"holder"`
	Slots  int    `json:"slots"`
}

// grant answers with the holder's present lease if there is one, so that an
// answer lost on the way leaves no second lease behind.
func (e *Endpoint) grant(_ *http.Request, body []byte) answer {
	var in leaseRequest
	if json.Unmarshal(body, &in) != nil || in.Holder == "" || in.Slots < 0 {
		return failure(http.StatusBadRequest, "bad_request")
	}
	if e.state == rebooting {
		return failure(http.StatusServiceUnavailable, rebooting)
	}
	for _, l := range e.leases {
		if l.holder == in.Holder && !l.released {
			return e.extend(l, in.Slots)
		}
	}
	l := &lease{id: uuid.NewString(), holder: in.Holder, nonces: make(map[string]tmclock.Millis)}
	e.leases[l.id] = l
	ans := e.extend(l, in.Slots)
	e.record(Event{Kind: "lease", Lease: l.id, Holder: l.holder, Slots: l.slots})
	return ans
}

func (e *Endpoint) renew(r *http.Request, body []byte) answer {
	var in leaseRequest
	if json.Unmarshal(body, &in) != nil || in.Slots < 0 {
		return failure(http.StatusBadRequest, "bad_request")
	}
	l, found := e.leases[r.PathValue("lease")]
	if !found || l.released {
		return failure(http.StatusGone, "lease_ended")
	}
	return e.extend(l, in.Slots)
}

// extend gives the lease what is free of the slots that it asks for, but never
// less than its running tasks. A draining endpoint grants no idle slots.
func (e *Endpoint) extend(l *lease, slots int) answer {
	now := e.clock.Now()
	l.slots = l.running
	if e.state == serving {
		l.slots += min(max(0, slots-l.running), e.free())
	}
	l.renewed = now
	return ok(map[string]any{
		"lease":  l.id,
		"nonce":  l.issue(now),
		"slots":  l.slots,
		"free":   e.free(),
		"state":  e.state,
		"ttl_ms": int64(LeaseTime),
	})
}

func (e *Endpoint) free() int {
	n := e.opts.Slots
	for _, l := range e.leases {
		n -= max(l.slots, l.running)
	}
	return n
}

// release frees the idle slots. Running tasks keep theirs until they end or
// the grace since the last renewal has passed.
func (e *Endpoint) release(r *http.Request, _ []byte) answer {
	l, found := e.leases[r.PathValue("lease")]
	if !found || l.released {
		return failure(http.StatusGone, "lease_ended")
	}
	l.released = true
	e.record(Event{Kind: "release", Lease: l.id, Holder: l.holder})
	e.expire(l.id, l, e.clock.Now())
	return ok(nil)
}

// expire frees the idle slots of a lapsed lease, and ends it after the grace.
func (e *Endpoint) expire(id string, l *lease, now tmclock.Millis) {
	if l.lapsed(now) {
		l.slots = l.running
	}
	if l.released && l.running == 0 || now.Sub(l.renewed) >= Grace {
		e.endLease(id, l, reasonLease)
	}
}

func (e *Endpoint) endLease(id string, l *lease, reason string) {
	delete(e.leases, id)
	e.record(Event{Kind: "lease_end", Lease: id, Holder: l.holder, Reason: reason})
}
