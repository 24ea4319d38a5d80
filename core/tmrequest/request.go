// Package tmrequest defines the request of a caller, its answer, and the typed
// error that a caller gets instead of an answer. The types are values; a Request
// must not be modified after it has been submitted.
package tmrequest

import (
	"crypto/sha256"
	"encoding/hex"

	"turmericmoor/core/tmclock"
)

// Limits of one request.
const (
	// MaxBodyBytes is the maximum length of a request body.
	MaxBodyBytes = 1 << 20
	// MaxAnswerBytes is the maximum length of an endpoint's answer.
	MaxAnswerBytes = 16 << 20
	// DefaultTimeout is the timeout of a request that specifies none.
	DefaultTimeout = 30 * tmclock.Second
	// MaxTimeout is the maximum timeout. It keeps a queued request from outliving
	// the record of its id.
	MaxTimeout = 300 * tmclock.Second
)

// Request is a request that a caller submits to a queue.
type Request struct {
	id            string
	callerChoseID bool
	keyHash       string
	queue         string
	contentType   string
	size          int
	idempotent    bool
	urgent        bool
	preemptible   bool
	timeout       tmclock.Span
	body          []byte
}

// Params are the fields of a new Request.
type Params struct {
	// ID is the request id. CallerChoseID is set when the caller chose it.
	ID            string
	CallerChoseID bool
	// KeyHash is the SHA-256 of the caller's key in hex, or "".
	KeyHash     string
	Queue       string
	ContentType string
	// Size is the declared size in cores, or 0 when none is declared.
	Size        int
	Idempotent  bool
	Urgent      bool
	Preemptible bool
	Timeout     tmclock.Span
	Body        []byte
}

// New returns a Request. A timeout of 0 or less becomes DefaultTimeout, and one
// above MaxTimeout becomes MaxTimeout.
func New(p Params) Request {
	if p.Timeout <= 0 {
		p.Timeout = DefaultTimeout
	}
	return Request{
		id:            p.ID,
		callerChoseID: p.CallerChoseID,
		keyHash:       p.KeyHash,
		queue:         p.Queue,
		contentType:   p.ContentType,
		size:          p.Size,
		idempotent:    p.Idempotent,
		urgent:        p.Urgent,
		preemptible:   p.Preemptible,
		timeout:       min(p.Timeout, MaxTimeout),
		body:          p.Body,
	}
}

// ID returns the request id, which is unique.
func (r Request) ID() string { return r.id }

// CallerChoseID reports whether the caller chose the id and may repeat it.
func (r Request) CallerChoseID() bool { return r.callerChoseID }

// KeyHash returns the SHA-256 of the key that came with the request, in hex,
// or "" when there was none.
func (r Request) KeyHash() string { return r.keyHash }

// Queue returns the name of the queue.
func (r Request) Queue() string { return r.queue }

// ContentType returns the media type of the body.
func (r Request) ContentType() string { return r.contentType }

// Size returns the declared size in cores, or 0 when none was declared.
func (r Request) Size() int { return r.size }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.idempotent }

// Urgent reports whether the request has priority over requests that are not
// urgent.
func (r Request) Urgent() bool { return r.urgent }

// Preemptible reports whether the task may be checkpointed to free capacity for
// other requests.
func (r Request) Preemptible() bool { return r.preemptible }

// Timeout returns how long the caller waits for an answer, counted from
// submission.
func (r Request) Timeout() tmclock.Span { return r.timeout }

// Body returns the body, which must not be modified.
func (r Request) Body() []byte { return r.body }

// NeedsRecord reports whether the start of the request must be recorded in the
// table service, because another submission under the same id must not run.
func (r Request) NeedsRecord() bool {
	return r.callerChoseID && !r.idempotent
}

// WithTimeout returns a copy of r with another timeout, for example that of a
// request that has already waited elsewhere.
func (r Request) WithTimeout(d tmclock.Span) Request {
	r.timeout = d
	return r
}

// HashKey returns the SHA-256 of a key in hex, the form in which keys are stored
// and compared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Answer is the complete answer of an endpoint to a request.
type Answer struct {
	contentType string
	body        []byte
	replayed    bool
}

// NewAnswer returns an Answer. Set replayed for an answer that was recorded
// earlier for the same request id.
func NewAnswer(contentType string, body []byte, replayed bool) Answer {
	return Answer{contentType: contentType, body: body, replayed: replayed}
}

// ContentType returns the media type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body, which must not be modified.
func (a Answer) Body() []byte { return a.body }

// Replayed reports whether the answer was recorded earlier for the same request
// id.
func (a Answer) Replayed() bool { return a.replayed }
