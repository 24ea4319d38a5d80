package tmonce

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxAnswerSize is the maximum size in bytes of a recorded answer.
const MaxAnswerSize = 4 << 10

// RunState is the state of a recorded request.
type RunState int

// The states of a Record.
const (
	Started RunState = iota
	Done
)

var runStateNames = [...]string{"started", "done"}

// String returns the snake_case name.
func (s RunState) String() string {
	if s < 0 || int(s) >= len(runStateNames) {
		return "run_state_" + strconv.Itoa(int(s))
	}
	return runStateNames[s]
}

// ParseRunState returns the RunState with the given name.
func ParseRunState(name string) (RunState, error) {
	i := slices.Index(runStateNames[:], name)
	if i < 0 {
		return 0, fmt.Errorf("tmonce: unknown run state %q, expected one of %v", name, runStateNames)
	}
	return RunState(i), nil
}

// Digest is a hash of the content of a request. It detects an id that a caller
// uses for two different requests. It does not protect against forgery. That is
// not needed, since only holders of the team's keys can reach the team's rows.
type Digest string

// DigestOf returns the Digest of the parts of a request, for example queue and
// body.
func DigestOf(parts ...[]byte) Digest {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(p)) + ":")
		_, _ = h.Write(p)
	}
	return Digest(fmt.Sprintf("%016x", h.Sum64()))
}

// Claim identifies one attempt of one entry to start a request.
type Claim struct {
	incarnation string
	nonce       string
}

// NewClaim returns a Claim of the entry with the given incarnation. The nonce
// must be unique among the requests that the entry receives.
func NewClaim(incarnation, nonce string) Claim {
	return Claim{incarnation: incarnation, nonce: nonce}
}

// Record is the content of the row of a non-idempotent request.
type Record struct {
	state      RunState
	claim      Claim
	digest     Digest
	outcome    Outcome
	status     int
	answer     []byte
	answerKept bool
}

// RecordParams are the fields of a Record, for decoders of stored data.
type RecordParams struct {
	State              RunState
	Incarnation, Nonce string
	Digest             Digest
	Outcome            Outcome
	// Status is the HTTP status for the caller.
	Status int
	Answer []byte
	// AnswerKept distinguishes an empty answer from one that was too large to
	// record.
	AnswerKept bool
}

// NewRecord returns the Record with the given fields.
func NewRecord(p RecordParams) Record {
	return Record{
		state:      p.State,
		claim:      NewClaim(p.Incarnation, p.Nonce),
		digest:     p.Digest,
		outcome:    p.Outcome,
		status:     p.Status,
		answer:     slices.Clone(p.Answer),
		answerKept: p.AnswerKept,
	}
}

// Start returns the Record that is written for the claim before the request is
// sent.
func (c Claim) Start(digest Digest) Record {
	return Record{claim: c, digest: digest}
}

// Finish returns the Record of the answered request. The outcome must not be
// NotRun; the row of a request that did not run is deleted instead. An answer
// larger than MaxAnswerSize is not recorded.
func (r Record) Finish(outcome Outcome, status int, answer []byte) Record {
	r.state = Done
	r.outcome = outcome
	r.status = status
	if len(answer) <= MaxAnswerSize {
		r.answer = slices.Clone(answer)
		r.answerKept = true
	}
	return r
}

// State returns the state of the request.
func (r Record) State() RunState { return r.state }

// Incarnation returns the incarnation of the entry that started the request.
func (r Record) Incarnation() string { return r.claim.incarnation }

// Nonce returns the nonce of the claim.
func (r Record) Nonce() string { return r.claim.nonce }

// Claim returns the claim that created the row.
func (r Record) Claim() Claim { return r.claim }

// Digest returns the digest of the request.
func (r Record) Digest() Digest { return r.digest }

// Outcome returns the recorded outcome. It is Unknown until the state is Done.
func (r Record) Outcome() Outcome { return r.outcome }

// Status returns the HTTP status for the caller, or 0.
func (r Record) Status() int { return r.status }

// Answer returns the recorded answer and whether the answer was recorded. The
// caller must not modify it.
func (r Record) Answer() ([]byte, bool) { return r.answer, r.answerKept }

// recordOverhead is an upper bound of the size in bytes of the JSON form of a
// Record without its answer.
const recordOverhead = 512

// size returns an upper bound of the size in bytes of the row in a transaction.
// Base64 and the framing of the table service at most double an answer.
func (r Record) size(key string) int {
	return recordOverhead + len(key) + 2*len(r.answer)
}
