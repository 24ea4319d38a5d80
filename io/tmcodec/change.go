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

// DecodeChanges decodes changes from a JSON array. The error is a
// *tmchange.InvalidError that lists unknown ops, unknown and missing fields and
// values of the wrong type. It does not validate the values; tmchange.Apply
// does.
func DecodeChanges(data []byte) ([]tmchange.Change, error) {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, invalidError(tmchange.BadForm, "changes", "is not a JSON array", "a list of changes")
	}
	if len(list) > tmchange.MaxChanges {
		return nil, invalidError(tmchange.ChangeCount, "changes", fmt.Sprintf("has %d changes", len(list)), fmt.Sprintf("at most %d", tmchange.MaxChanges))
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

func invalidError(kind tmchange.ProblemKind, field, message, expected string) error {
	return &tmchange.InvalidError{Problems: []tmchange.Problem{{Kind: kind, Field: field, Message: message, Expected: expected}}}
}

func decodeChange(f *fields, raw json.RawMessage) tmchange.Change {
	if err := json.Unmarshal(raw, &f.values); err != nil || f.values == nil {
		f.addProblem("op", "the change is not a JSON object", `an object, for example {"op":"zone_out","name":"zone-a"}`)
		return nil
	}
	op := f.requiredString("op")
	decode, ok := decoders[op]
	if !ok {
		f.addProblem("op", fmt.Sprintf("unknown op %q", op), "one of "+strings.Join(slices.Sorted(maps.Keys(decoders)), ", "))
		return nil
	}
	change := decode(f)
	f.rejectUnknown()
	return change
}

// decoders maps each op to a function that decodes its fields.
var decoders = map[string]func(f *fields) tmchange.Change{
	tmchange.OpAddZone: func(f *fields) tmchange.Change {
		return tmchange.AddZone{Name: f.requiredString("name"), Region: f.requiredString("region")}
	},
	tmchange.OpZoneOut: func(f *fields) tmchange.Change {
		return tmchange.ZoneOut{Name: f.requiredString("name")}
	},
	tmchange.OpZoneIn: func(f *fields) tmchange.Change {
		return tmchange.ZoneIn{Name: f.requiredString("name")}
	},
	tmchange.OpAddPool: func(f *fields) tmchange.Change {
		return tmchange.AddPool{Name: f.requiredString("name"), MaxUnavailable: f.requiredInt("max_unavailable")}
	},
	tmchange.OpRemovePool: func(f *fields) tmchange.Change {
		return tmchange.RemovePool{Name: f.requiredString("name")}
	},
	tmchange.OpSetBudget: func(f *fields) tmchange.Change {
		return tmchange.SetBudget{Pool: f.requiredString("pool"), MaxUnavailable: f.requiredInt("max_unavailable")}
	},
	tmchange.OpAddQueue: func(f *fields) tmchange.Change {
		return tmchange.AddQueue{Name: f.requiredString("name"), Pool: f.requiredString("pool"), Open: f.optionalBool("open"), Team: f.optionalString("team")}
	},
	tmchange.OpRemoveQueue: func(f *fields) tmchange.Change {
		return tmchange.RemoveQueue{Name: f.requiredString("name")}
	},
	tmchange.OpAddTeam: func(f *fields) tmchange.Change {
		return tmchange.AddTeam{Name: f.requiredString("name"), Share: f.requiredInt("share"), Limit: f.requiredInt("limit"), Urgent: f.optionalBool("urgent")}
	},
	tmchange.OpRemoveTeam: func(f *fields) tmchange.Change {
		return tmchange.RemoveTeam{Name: f.requiredString("name")}
	},
	tmchange.OpSetShare: func(f *fields) tmchange.Change {
		return tmchange.SetShare{Team: f.requiredString("team"), Share: f.requiredInt("share")}
	},
	tmchange.OpSetLimit: func(f *fields) tmchange.Change {
		return tmchange.SetLimit{Team: f.requiredString("team"), Limit: f.requiredInt("limit")}
	},
	tmchange.OpGrantKey: func(f *fields) tmchange.Change {
		return tmchange.GrantKey{Hash: f.requiredString("hash"), Team: f.requiredString("team"), Label: f.requiredString("label")}
	},
	tmchange.OpWithdrawKey: func(f *fields) tmchange.Change {
		return tmchange.WithdrawKey{Hash: f.optionalString("hash"), Label: f.optionalString("label")}
	},
	tmchange.OpAddInstance: func(f *fields) tmchange.Change {
		return tmchange.AddInstance{
			Name:    f.requiredString("name"),
			Address: f.requiredString("address"),
			Zone:    f.requiredString("zone"),
			Rack:    f.requiredString("rack"),
			Pool:    f.requiredString("pool"),
			Slots:   f.requiredInt("slots"),
		}
	},
	tmchange.OpRemoveInstance: func(f *fields) tmchange.Change {
		return tmchange.RemoveInstance{Name: f.requiredString("name")}
	},
	tmchange.OpMoveInstance: func(f *fields) tmchange.Change {
		return tmchange.MoveInstance{Name: f.requiredString("name"), To: f.requiredString("to")}
	},
	tmchange.OpFinishMove: func(f *fields) tmchange.Change {
		return tmchange.FinishMove{Name: f.requiredString("name")}
	},
	tmchange.OpMarkLeaving: func(f *fields) tmchange.Change {
		return tmchange.MarkLeaving{Name: f.requiredString("name")}
	},
	tmchange.OpMarkDraining: func(f *fields) tmchange.Change {
		return tmchange.MarkDraining{Name: f.requiredString("name")}
	},
	tmchange.OpMarkRebooting: func(f *fields) tmchange.Change {
		return tmchange.MarkRebooting{Name: f.requiredString("name")}
	},
	tmchange.OpMarkServing: func(f *fields) tmchange.Change {
		return tmchange.MarkServing{Name: f.requiredString("name")}
	},
}
