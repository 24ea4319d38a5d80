package tmcodec

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"turmericmoor/core/tmchange"
)

// fields decodes the fields of one JSON object and collects the problems found.
type fields struct {
	path     string
	values   map[string]json.RawMessage
	known    []string
	problems []tmchange.Problem
}

func (f *fields) addProblem(field, message, expected string) {
	f.problems = append(f.problems, tmchange.Problem{Kind: tmchange.BadForm, Field: f.path + "." + field, Message: message, Expected: expected})
}

// read decodes a field into v. A field that is absent or null leaves v unchanged,
// which is a problem if the field is required.
func (f *fields) read(field string, v any, required bool, expected string) {
	f.known = append(f.known, field)
	raw, ok := f.values[field]
	if !ok || string(raw) == "null" {
		if required {
			f.addProblem(field, "is missing", expected)
		}
		return
	}
	if err := json.Unmarshal(raw, v); err != nil {
		f.addProblem(field, "has the wrong type", expected)
	}
}

func (f *fields) requiredString(field string) string {
	var v string
	f.read(field, &v, true, "a string")
	return v
}

func (f *fields) optionalString(field string) string {
	var v string
	f.read(field, &v, false, "a string")
	return v
}

func (f *fields) requiredInt(field string) int {
	var v int
	f.read(field, &v, true, "a whole number")
	return v
}

func (f *fields) optionalBool(field string) bool {
	var v bool
	f.read(field, &v, false, "true or false")
	return v
}

// rejectUnknown adds a problem for each field that has not been read.
func (f *fields) rejectUnknown() {
	for _, name := range slices.Sorted(maps.Keys(f.values)) {
		if !slices.Contains(f.known, name) {
			f.addProblem(name, "is not a field of this op", "only "+strings.Join(f.known, ", "))
		}
	}
}
