package tmcodec

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"turmericmoor/core/tmchange"
)

// EncodeChanges returns changes as a JSON array.
func EncodeChanges(changes []tmchange.Change) ([]byte, error) {
	list := make([]wireChange, 0, len(changes))
	for i, c := range changes {
		w, ok := encodeChange(c)
		if !ok {
			return nil, fmt.Errorf("tmcodec: encode change %d: unknown type %T", i, c)
		}
		list = append(list, w)
	}
	data, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("tmcodec: encode changes: %w", err)
	}
	return data, nil
}

// DecodeChanges reads changes from a JSON array. It returns a
// *tmchange.InvalidError that lists unknown ops, unknown and missing fields and
// values of the wrong type. The values themselves are checked by
// tmchange.Apply.
func DecodeChanges(data []byte) ([]tmchange.Change, error) {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, oneProblem("changes", "is not a JSON array", "a list of changes")
	}
	if len(list) > tmchange.MaxChanges {
		return nil, oneProblem("changes", fmt.Sprintf("has %d changes", len(list)), fmt.Sprintf("at most %d", tmchange.MaxChanges))
	}
	changes := make([]tmchange.Change, 0, len(list))
	var problems []tmchange.Problem
	for i, raw := range list {
		f := &fields{path: fmt.Sprintf("changes[%d]", i)}
		changes = append(changes, decodeChange(f, raw))
		problems = append(problems, f.problems...)
	}
	if len(problems) > 0 {
		return nil, &tmchange.InvalidError{Problems: problems}
	}
	return changes, nil
}

func oneProblem(field, message, expected string) error {
	return &tmchange.InvalidError{Problems: []tmchange.Problem{{Field: field, Message: message, Expected: expected}}}
}

func decodeChange(f *fields, raw json.RawMessage) tmchange.Change {
	if err := json.Unmarshal(raw, &f.values); err != nil || f.values == nil {
		f.bad("op", "the change is not a JSON object", `an object, for example {"op":"zone_out","name":"zone-a"}`)
		return nil
	}
	op := f.text("op")
	decode, ok := decoders[op]
	if !ok {
		f.bad("op", fmt.Sprintf("unknown op %q", op), "one of "+strings.Join(slices.Sorted(maps.Keys(decoders)), ", "))
		return nil
	}
	change := decode(f)
	f.refuseUnknown()
	return change
}

// decoders has the fields of each op. Fields with an opt prefix may be absent.
var decoders = map[string]func(f *fields) tmchange.Change{
	tmchange.OpAddZone: func(f *fields) tmchange.Change {
		return tmchange.AddZone{Name: f.text("name"), Region: f.text("region")}
	},
	tmchange.OpZoneOut: func(f *fields) tmchange.Change {
		return tmchange.ZoneOut{Name: f.text("name")}
	},
	tmchange.OpZoneIn: func(f *fields) tmchange.Change {
		return tmchange.ZoneIn{Name: f.text("name")}
	},
	tmchange.OpAddPool: func(f *fields) tmchange.Change {
		return tmchange.AddPool{Name: f.text("name"), MaxUnavailable: f.number("max_unavailable")}
	},
	tmchange.OpRemovePool: func(f *fields) tmchange.Change {
		return tmchange.RemovePool{Name: f.text("name")}
	},
	tmchange.OpSetBudget: func(f *fields) tmchange.Change {
		return tmchange.SetBudget{Pool: f.text("pool"), MaxUnavailable: f.number("max_unavailable")}
	},
	tmchange.OpAddQueue: func(f *fields) tmchange.Change {
		return tmchange.AddQueue{Name: f.text("name"), Pool: f.text("pool"), Open: f.optFlag("open"), Team: f.optText("team")}
	},
	tmchange.OpRemoveQueue: func(f *fields) tmchange.Change {
		return tmchange.RemoveQueue{Name: f.text("name")}
	},
	tmchange.OpAddTeam: func(f *fields) tmchange.Change {
		return tmchange.AddTeam{Name: f.text("name"), Share: f.number("share"), Limit: f.number("limit"), Urgent: f.optFlag("urgent")}
	},
	tmchange.OpRemoveTeam: func(f *fields) tmchange.Change {
		return tmchange.RemoveTeam{Name: f.text("name")}
	},
	tmchange.OpSetShare: func(f *fields) tmchange.Change {
		return tmchange.SetShare{Team: f.text("team"), Share: f.number("share")}
	},
	tmchange.OpSetLimit: func(f *fields) tmchange.Change {
		return tmchange.SetLimit{Team: f.text("team"), Limit: f.number("limit")}
	},
	tmchange.OpGrantKey: func(f *fields) tmchange.Change {
		return tmchange.GrantKey{Hash: f.text("hash"), Team: f.text("team"), Label: f.text("label")}
	},
	tmchange.OpWithdrawKey: func(f *fields) tmchange.Change {
		return tmchange.WithdrawKey{Hash: f.optText("hash"), Label: f.optText("label")}
	},
	tmchange.OpAddInstance: func(f *fields) tmchange.Change {
		return tmchange.AddInstance{
			Name:    f.text("name"),
			Address: f.text("address"),
			Zone:    f.text("zone"),
			Rack:    f.text("rack"),
			Pool:    f.text("pool"),
			Slots:   f.number("slots"),
		}
	},
	tmchange.OpRemoveInstance: func(f *fields) tmchange.Change {
		return tmchange.RemoveInstance{Name: f.text("name")}
	},
	tmchange.OpMoveInstance: func(f *fields) tmchange.Change {
		return tmchange.MoveInstance{Name: f.text("name"), To: f.text("to")}
	},
	tmchange.OpFinishMove: func(f *fields) tmchange.Change {
		return tmchange.FinishMove{Name: f.text("name")}
	},
	tmchange.OpMarkLeaving: func(f *fields) tmchange.Change {
		return tmchange.MarkLeaving{Name: f.text("name")}
	},
	tmchange.OpMarkDraining: func(f *fields) tmchange.Change {
		return tmchange.MarkDraining{Name: f.text("name")}
	},
	tmchange.OpMarkRebooting: func(f *fields) tmchange.Change {
		return tmchange.MarkRebooting{Name: f.text("name")}
	},
	tmchange.OpMarkServing: func(f *fields) tmchange.Change {
		return tmchange.MarkServing{Name: f.text("name")}
	},
}
