package tmoperator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"

	"turmericmoor/core/tmchange"
	"turmericmoor/io/tmcodec"
)

// maxReasonBytes is the maximum length of the reason of a wave.
const maxReasonBytes = 500

const idForm = "1 to 64 letters, digits, '-', '_' or '.', for example a UUID"

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// problems collects the validation errors of a request body.
type problems []tmchange.Problem

func (p *problems) add(field, message, expected string) {
	*p = append(*p, tmchange.Problem{Field: field, Message: message, Expected: expected})
}

func (p *problems) checkID(id string) {
	if !idPattern.MatchString(id) {
		p.add("change_id", fmt.Sprintf("%q is not an id", id), idForm)
	}
}

func (p *problems) checkName(field, name string) {
	if !tmchange.ValidName(name) {
		p.add(field, fmt.Sprintf("%q is not a name", name), tmchange.NameForm())
	}
}

func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return &tmchange.InvalidError{Problems: p}
}

// decodeBody decodes a single JSON object and rejects unknown fields.
func decodeBody(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var p problems
	if err := decoder.Decode(v); err != nil {
		p.add("body", err.Error(), "a JSON object with the documented fields")
	} else if decoder.More() {
		p.add("body", "has more than one JSON value", "one JSON object")
	}
	return p.err()
}

func decodeChangeRequest(data []byte) (ChangeRequest, error) {
	var w wireRequest
	if err := decodeBody(data, &w); err != nil {
		return ChangeRequest{}, err
	}
	var p problems
	p.checkID(w.ChangeID)
	if len(w.Changes) == 0 {
		w.Changes = json.RawMessage("[]")
	}
	changes, err := tmcodec.DecodeChanges(w.Changes)
	var invalid *tmchange.InvalidError
	switch {
	case errors.As(err, &invalid):
		p = append(p, invalid.Problems...)
	case err != nil:
		return ChangeRequest{}, err
	case len(changes) == 0:
		p.add("changes", "has no changes", "at least one change")
	}
	return ChangeRequest{ID: w.ChangeID, BaseVersion: w.BaseVersion, Changes: changes}, p.err()
}

func decodeMove(data []byte) (MoveRequest, error) {
	var w wireMove
	if err := decodeBody(data, &w); err != nil {
		return MoveRequest{}, err
	}
	var p problems
	p.checkID(w.ChangeID)
	p.checkName("instance", w.Instance)
	p.checkName("pool", w.Pool)
	return MoveRequest{ID: w.ChangeID, Instance: w.Instance, Pool: w.Pool}, p.err()
}

func decodeWaveRequest(data []byte) (WaveRequest, error) {
	var w wireWaveRequest
	if err := decodeBody(data, &w); err != nil {
		return WaveRequest{}, err
	}
	var p problems
	p.checkName("name", w.Name)
	if len(w.Pools) == 0 {
		p.add("pools", "has no pools", "at least one pool")
	}
	seen := make(map[string]bool, len(w.Pools))
	for i, pool := range w.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		p.checkName(field, pool)
		if seen[pool] {
			p.add(field, fmt.Sprintf("pool %q is given twice", pool), "each pool once")
		}
		seen[pool] = true
	}
	if len(w.Reason) > maxReasonBytes {
		p.add("reason", fmt.Sprintf("has %d bytes", len(w.Reason)), fmt.Sprintf("at most %d bytes", maxReasonBytes))
	}
	return WaveRequest(w), p.err()
}
