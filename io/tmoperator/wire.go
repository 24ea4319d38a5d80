package tmoperator

import (
	"encoding/json"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmcodec"
)

type wireRequest struct {
	ChangeID    string          `json:"change_id"`
	BaseVersion uint64          `json:"base_version"`
	Changes     json.RawMessage `json:"changes"`
}

type wireMove struct {
	ChangeID string `json:"change_id"`
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
}

type wireStatus struct {
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
	InForce  bool   `json:"in_force"`
	Status   string `json:"status"`
}

// The values of wireStatus.Status.
const (
	statusInForce = "in force"
	statusStored  = "stored, not yet confirmed"
)

func encodeStatus(s ChangeStatus) wireStatus {
	w := wireStatus{ChangeID: s.ID, Version: s.Version, InForce: s.InForce, Status: statusStored}
	if s.InForce {
		w.Status = statusInForce
	}
	return w
}

func (w wireStatus) decode() ChangeStatus {
	return ChangeStatus{ID: w.ChangeID, Version: w.Version, InForce: w.InForce}
}

type wireConfig struct {
	Version uint64          `json:"version"`
	Config  json.RawMessage `json:"config"`
}

type wireHistory struct {
	Revisions []wireRevision `json:"revisions"`
}

type wireRevision struct {
	Version       uint64          `json:"version"`
	ChangeID      string          `json:"change_id,omitempty"`
	WrittenUnixMS int64           `json:"written_unix_ms"`
	Changes       json.RawMessage `json:"changes"`
}

func encodeHistory(list []Revision) (wireHistory, error) {
	w := wireHistory{Revisions: make([]wireRevision, 0, len(list))}
	for _, r := range list {
		changes, err := tmcodec.EncodeChanges(r.Changes)
		if err != nil {
			return wireHistory{}, err
		}
		w.Revisions = append(w.Revisions, wireRevision{
			Version:       r.Version,
			ChangeID:      r.ChangeID,
			WrittenUnixMS: int64(r.Written),
			Changes:       changes,
		})
	}
	return w, nil
}

func (w wireHistory) decode() ([]Revision, error) {
	list := make([]Revision, 0, len(w.Revisions))
	for _, r := range w.Revisions {
		changes, err := tmcodec.DecodeChanges(r.Changes)
		if err != nil {
			return nil, err
		}
		list = append(list, Revision{
			Version:  r.Version,
			ChangeID: r.ChangeID,
			Written:  tmclock.Millis(r.WrittenUnixMS),
			Changes:  changes,
		})
	}
	return list, nil
}

type wireWaveRequest struct {
	Name   string   `json:"name"`
	Pools  []string `json:"pools"`
	Reason string   `json:"reason"`
}

type wireWaves struct {
	Waves []wireWave `json:"waves"`
}

type wireWave struct {
	Name   string   `json:"name"`
	Pools  []string `json:"pools"`
	Reason string   `json:"reason"`
	Phase  string   `json:"phase"`
	Leader string   `json:"leader,omitempty"`
	Total  int      `json:"total"`
	Done   int      `json:"done"`
	Active []string `json:"active"`
	Note   string   `json:"note,omitempty"`
}

func encodeWave(s WaveStatus) wireWave {
	return wireWave{
		Name:   s.Name,
		Pools:  s.Pools,
		Reason: s.Reason,
		Phase:  string(s.Phase),
		Leader: s.Leader,
		Total:  s.Total,
		Done:   s.Done,
		Active: s.Active,
		Note:   s.Note,
	}
}

func (w wireWave) decode() WaveStatus {
	return WaveStatus{
		Name:   w.Name,
		Pools:  w.Pools,
		Reason: w.Reason,
		Phase:  WavePhase(w.Phase),
		Leader: w.Leader,
		Total:  w.Total,
		Done:   w.Done,
		Active: w.Active,
		Note:   w.Note,
	}
}

type wireErrorBody struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Code     string        `json:"code"`
	Message  string        `json:"message"`
	Version  uint64        `json:"version,omitempty"`
	Problems []wireProblem `json:"problems,omitempty"`
}

type wireProblem struct {
	Field    string `json:"field"`
	Message  string `json:"message"`
	Expected string `json:"expected"`
}

func encodeProblems(list []tmchange.Problem) []wireProblem {
	out := make([]wireProblem, 0, len(list))
	for _, p := range list {
		out = append(out, wireProblem{Field: p.Field, Message: p.Message, Expected: p.Expected})
	}
	return out
}

func decodeProblems(list []wireProblem) []tmchange.Problem {
	out := make([]tmchange.Problem, 0, len(list))
	for _, p := range list {
		out = append(out, tmchange.Problem{Field: p.Field, Message: p.Message, Expected: p.Expected})
	}
	return out
}
