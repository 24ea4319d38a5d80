// Package tmrequest has the request of a caller, its answer and the typed
// error that a caller gets instead. The types are values; a Request must not
// be changed once it has been submitted.
package tmrequest

import (
	"crypto/sha256"
	"encoding/hex"

	"turmericmoor/core/tmclock"
)

// Limits of one request.
const (
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes = 1 << 20
	// MaxAnswerBytes is the largest answer that an endpoint may give.
	MaxAnswerBytes = 16 << 20
	// DefaultTimeout is the timeout of a request that states none.
	DefaultTimeout = 30 * tmclock.Second
	// MaxTimeout keeps a queued request from outliving the record of its id.
	MaxTimeout = 300 * tmclock.Second
)

// Request is one request of a caller to a queue.
type Request struct {
	id          string
	ownID       bool
	keyHash     string
	queue       string
	contentType string
	size        int
	idempotent  bool
	urgent      bool
	preemptible bool
	timeout     tmclock.Span
	body        []byte
}

// Params are the fields of a new Request.
type Params struct {
	// ID is the request id. OwnID is set when the caller chose it.
	ID    string
	OwnID bool
	// KeyHash is the SHA-256 of the caller's key in hex, or empty.
	KeyHash     string
	Queue       string
	ContentType string
	// Size is the declared size in cores, 0 when none is declared.
	Size        int
	Idempotent  bool
	Urgent      bool
	Preemptible bool
	Timeout     tmclock.Span
	Body        []byte
}

// New returns a Request. A timeout of 0 becomes DefaultTimeout.
func New(p Params) Request {
	if p.Timeout <= 0 {
		p.Timeout = DefaultTimeout
	}
	return Request{
		id:          p.ID,
		ownID:       p.OwnID,
		keyHash:     p.KeyHash,
		queue:       p.Queue,
		contentType: p.ContentType,
		size:        p.Size,
		idempotent:  p.Idempotent,
		urgent:      p.Urgent,
		preemptible: p.Preemptible,
		timeout:     min(p.Timeout, MaxTimeout),
		body:        p.Body,
	}
}

// ID returns the request id, which is unique.
func (r Request) ID() string { return r.id }

// OwnID reports whether the caller chose the id and may repeat it.
func (r Request) OwnID() bool { return r.ownID }

// KeyHash returns the SHA-256 of the key that came with the request, in hex,
// or "" when there was none.
func (r Request) KeyHash() string { return r.keyHash }

// Queue returns the name of the queue.
func (r Request) Queue() string { return r.queue }

// ContentType returns the media type of the body.
func (r Request) ContentType() string { return r.contentType }

// Size returns the declared size in cores, 0 when none was declared.
func (r Request) Size() int { return r.size }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.idempotent }

// Urgent reports whether the request goes ahead of others.
func (r Request) Urgent() bool { return r.urgent }

// Preemptible reports whether the task may be checkpointed for others.
func (r Request) Preemptible() bool { return r.preemptible }

// Timeout returns the time from submission after which the caller no longer
// waits.
func (r Request) Timeout() tmclock.Span { return r.timeout }

// Body returns the body. It must not be changed.
func (r Request) Body() []byte { return r.body }

// NeedsRecord reports whether the start of the request has to be recorded in
// the table service, because a repetition under the same id must not run.
func (r Request) NeedsRecord() bool {
	return r.ownID && !r.idempotent
}

// WithTimeout returns a copy of r with another timeout, as for a request that
// waited elsewhere.
func (r Request) WithTimeout(d tmclock.Span) Request {
	r.timeout = d
	return r
}

// HashKey returns the form in which keys are stored and compared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Answer is the complete answer of an endpoint.
type Answer struct {
	contentType string
	body        []byte
	replayed    bool
}

// NewAnswer returns an Answer. Replayed says that it was recorded earlier for
// the same request id.
func NewAnswer(contentType string, body []byte, replayed bool) Answer {
	return Answer{contentType: contentType, body: body, replayed: replayed}
}

// ContentType returns the media type of the body.
func (a Answer) ContentType() string { return a.contentType }

// Body returns the body. It must not be changed.
func (a Answer) Body() []byte { return a.body }

// Replayed reports whether the answer was recorded earlier.
func (a Answer) Replayed() bool { return a.replayed }
