package tmcodec

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"turmericmoor/core/tmchange"
)

// fields reads the fields of one JSON object and collects the problems.
type fields struct {
	path     string
	values   map[string]json.RawMessage
	known    []string
	problems []tmchange.Problem
}

func (f *fields) bad(field, message, expected string) {
	f.problems = append(f.problems, tmchange.Problem{Field: f.path + "." + field, Message: message, Expected: expected})
}

// read decodes a field into v. A field that is absent or null leaves v as it
// is, which is a problem when the field is needed.
func (f *fields) read(field string, v any, needed bool, expected string) {
	f.known = append(f.known, field)
	raw, ok := f.values[field]
	if !ok || string(raw) == "null" {
		if needed {
			f.bad(field, "is missing", expected)
		}
		return
	}
	if err := json.Unmarshal(raw, v); err != nil {
		f.bad(field, "has the wrong type", expected)
	}
}

func (f *fields) text(field string) string {
	var v string
	f.read(field, &v, true, "a string")
	return v
}

func (f *fields) optText(field string) string {
	var v string
	f.read(field, &v, false, "a string")
	return v
}

func (f *fields) number(field string) int {
	var v int
	f.read(field, &v, true, "a whole number")
	return v
}

func (f *fields) optFlag(field string) bool {
	var v bool
	f.read(field, &v, false, "true or false")
	return v
}

func (f *fields) refuseUnknown() {
	for _, name := range slices.Sorted(maps.Keys(f.values)) {
		if !slices.Contains(f.known, name) {
			f.bad(name, "is not a field of this op", "only "+strings.Join(f.known, ", "))
		}
	}
}
