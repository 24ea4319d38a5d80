package tmpeer

import (
	"encoding/json"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
)

// Identity names an entry process.
type Identity struct {
	Entry       string
	Incarnation string
}

// Cell is the demand of one team for one pool at one entry. A Demand has at
// most one for each pool and team; heartbeats leave out those that are 0.
type Cell struct {
	Pool    string
	Team    string
	Queued  int
	Running int
}

// Units is the number of units of a team's limit that an entry holds and does
// not use.
type Units struct {
	Team   string
	Unused int
}

// Demand is what an entry tells the others about its queues. Its slices are not
// changed after it was handed over in either direction. Heartbeats that find it
// in the order of pool and team don't need to sort it.
type Demand struct {
	Cells []Cell
	Units []Units
}

// Sort brings the rows into the order of pool and team.
func (d Demand) Sort() {
	slices.SortFunc(d.Cells, compareCells)
	slices.SortFunc(d.Units, compareUnits)
}

// Equal reports whether both have the same rows in the same order.
func (d Demand) Equal(o Demand) bool {
	return slices.Equal(d.Cells, o.Cells) && slices.Equal(d.Units, o.Units)
}

// Heartbeat is the question that keeps entries fresh.
type Heartbeat struct {
	Version uint64
	Demand  Demand
	// Aside are the endpoints that the asking entry has set aside by evidence
	// of its own.
	Aside   []string
	Leaving bool
}

// HeartbeatAnswer is what the asked entry says about itself.
type HeartbeatAnswer struct {
	Version     uint64
	Incarnation string
	Demand      Demand
	Leaving     bool
}

// StatusQuestion asks for a request that the asked entry may own.
type StatusQuestion struct {
	Team      string `json:"team"`
	RequestID string `json:"request_id"`
}

// Status says where a request is at the asked entry.
type Status string

// The statuses of a request.
const (
	StatusQueued  Status = "queued"
	StatusRunning Status = "running"
	StatusNone    Status = "none"
)

// Work is a request that one entry hands to another one. The entry that
// receives it never forwards it again.
type Work struct {
	RequestID   string
	CallerID    bool
	Team        string
	KeyHash     string
	Queue       string
	ContentType string
	Idempotent  bool
	Urgent      bool
	Preemptible bool
	Size        int64
	Remaining   tmclock.Span
	Body        []byte
}

// WorkAnswer is the answer to forwarded work. Code is empty on success, else
// one of the codes of the caller protocol.
type WorkAnswer struct {
	Body    []byte
	Outcome tmonce.Outcome
	Code    string
	Message string
}

type wireHello struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	Nonce       []byte `json:"nonce"`
}

type wireProof struct {
	Proof []byte `json:"proof"`
}

type wireState struct {
	State json.RawMessage `json:"state"`
}

type wireVersion struct {
	Version uint64 `json:"version"`
}

type wireStatus struct {
	Status Status `json:"status"`
}

type wireWork struct {
	RequestID   string `json:"request_id"`
	CallerID    bool   `json:"caller_id,omitempty"`
	Team        string `json:"team"`
	KeyHash     string `json:"key_hash,omitempty"`
	Queue       string `json:"queue"`
	ContentType string `json:"content_type,omitempty"`
	Idempotent  bool   `json:"idempotent,omitempty"`
	Urgent      bool   `json:"urgent,omitempty"`
	Preemptible bool   `json:"preemptible,omitempty"`
	Size        int64  `json:"size,omitempty"`
	RemainingMS int64  `json:"remaining_ms"`
	Body        []byte `json:"body"`
}

type wireWorkAnswer struct {
	Body    []byte `json:"body,omitempty"`
	Outcome string `json:"outcome"`
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

func encodeWork(w Work) wireWork {
	return wireWork{
		RequestID:   w.RequestID,
		CallerID:    w.CallerID,
		Team:        w.Team,
		KeyHash:     w.KeyHash,
		Queue:       w.Queue,
		ContentType: w.ContentType,
		Idempotent:  w.Idempotent,
		Urgent:      w.Urgent,
		Preemptible: w.Preemptible,
		Size:        w.Size,
		RemainingMS: int64(w.Remaining),
		Body:        w.Body,
	}
}

func decodeWork(w wireWork) Work {
	return Work{
		RequestID:   w.RequestID,
		CallerID:    w.CallerID,
		Team:        w.Team,
		KeyHash:     w.KeyHash,
		Queue:       w.Queue,
		ContentType: w.ContentType,
		Idempotent:  w.Idempotent,
		Urgent:      w.Urgent,
		Preemptible: w.Preemptible,
		Size:        w.Size,
		Remaining:   tmclock.Span(w.RemainingMS),
		Body:        w.Body,
	}
}
