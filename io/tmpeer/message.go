package tmpeer

import (
	"encoding/json"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
)

// Identity identifies a process of an entry. An entry that restarts has another
// Incarnation.
type Identity struct {
	Entry       string
	Incarnation string
}

// PoolTeamDemand is the demand of one team for one pool at one entry. A Demand
// has at most one PoolTeamDemand for each pool and team. Heartbeats omit those
// without queued and running requests.
type PoolTeamDemand struct {
	Pool    string
	Team    string
	Queued  int
	Running int
}

// Units is the number of units of a team's limit that an entry holds and does
// not use. Heartbeats omit those with no unused unit.
type Units struct {
	Team   string
	Unused int
}

// Demand is the load that an entry reports to the others. The slices of a Demand
// must not be modified after it was passed to or returned by this package. A
// heartbeat whose rows aren't in the order of Sort sorts a copy of them.
type Demand struct {
	PoolTeams []PoolTeamDemand
	Units     []Units
}

// Sort sorts the rows by pool and team.
func (d Demand) Sort() {
	slices.SortFunc(d.PoolTeams, comparePoolTeams)
	slices.SortFunc(d.Units, compareUnits)
}

// Equal reports whether both have the same rows in the same order.
func (d Demand) Equal(o Demand) bool {
	return slices.Equal(d.PoolTeams, o.PoolTeams) && slices.Equal(d.Units, o.Units)
}

// Heartbeat is the request by which an entry stays fresh, which means that it may
// act on its State, the configuration and the members of the fleet. Answers of a
// quorum keep it fresh for some time. Version is the version of the State that the
// sender has installed.
type Heartbeat struct {
	Version uint64
	Demand  Demand
	// Ejected lists the endpoints that the sender has ejected on the evidence
	// of its own requests.
	Ejected []string
	Leaving bool
}

// HeartbeatAnswer is the answer to a Heartbeat. Version is the version of the State
// that the answering entry has installed.
type HeartbeatAnswer struct {
	Version     uint64
	Incarnation string
	Demand      Demand
	Leaving     bool
}

// StatusQuery asks for the status of a request that the receiver may own.
type StatusQuery struct {
	Team      string `json:"team"`
	RequestID string `json:"request_id"`
}

// Status is the status of a request at the entry that was asked.
type Status string

// The statuses of a request.
const (
	StatusQueued  Status = "queued"
	StatusRunning Status = "running"
	StatusNone    Status = "none"
)

// ForwardedRequest is a request that one entry forwards to another. The
// receiver never forwards it again. Remaining is what is left of the caller's
// timeout.
type ForwardedRequest struct {
	RequestID     string
	CallerChoseID bool
	Team          string
	KeyHash       string
	Queue         string
	ContentType   string
	Idempotent    bool
	Urgent        bool
	Preemptible   bool
	Size          int64
	Remaining     tmclock.Span
	Body          []byte
}

// ForwardedAnswer is the answer to a ForwardedRequest. Code is empty on success
// and otherwise one of the codes of the caller protocol.
type ForwardedAnswer struct {
	Body    []byte
	Outcome tmonce.Outcome
	Code    string
	Message string
}

// wireHello is the request and the answer of peer.hello.
type wireHello struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	Nonce       []byte `json:"nonce"`
}

// wireProof is the request and the answer of peer.prove.
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

type wireForwardedRequest struct {
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

type wireForwardedAnswer struct {
	Body    []byte `json:"body,omitempty"`
	Outcome string `json:"outcome"`
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

func encodeForwardedRequest(w ForwardedRequest) wireForwardedRequest {
	return wireForwardedRequest{
		RequestID:   w.RequestID,
		CallerID:    w.CallerChoseID,
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

func decodeForwardedRequest(w wireForwardedRequest) ForwardedRequest {
	return ForwardedRequest{
		RequestID:     w.RequestID,
		CallerChoseID: w.CallerID,
		Team:          w.Team,
		KeyHash:       w.KeyHash,
		Queue:         w.Queue,
		ContentType:   w.ContentType,
		Idempotent:    w.Idempotent,
		Urgent:        w.Urgent,
		Preemptible:   w.Preemptible,
		Size:          w.Size,
		Remaining:     tmclock.Span(w.RemainingMS),
		Body:          w.Body,
	}
}
