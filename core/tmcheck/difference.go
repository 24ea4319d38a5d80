package tmcheck

import (
	"cmp"
	"strconv"

	"turmericmoor/core/tmfleet"
)

// DifferenceKind says what happens to an entry of the configuration.
type DifferenceKind int

// The kinds of differences.
const (
	Changed DifferenceKind = iota
	Added
	Removed
)

var differenceKindNames = [...]string{"changed", "added", "removed"}

// String returns the name in snake_case.
func (k DifferenceKind) String() string { return differenceKindNames[k] }

// Difference is an entry of the configuration that differs from the version in
// force.
type Difference struct {
	Kind DifferenceKind
	// Section is the name of the section in JSON. Entry is the name of the entry,
	// or the label of a key.
	Section, Entry string
	// Fields has the fields that differ. Before is empty in those of an added
	// entry, After in those of a removed one.
	Fields []FieldDifference
}

// FieldDifference is a field with its text before and after the changes.
type FieldDifference struct{ Field, Before, After string }

// Differences returns the entries of after that differ from before, in the order
// of the sections of the configuration. Limit versions are not compared.
func Differences(before, after tmfleet.Config) []Difference {
	var list []Difference
	list = appendDifferences(list, sectionZones, before.Zones(), after.Zones(), zoneFields)
	list = appendDifferences(list, sectionPools, before.Pools(), after.Pools(), poolFields)
	list = appendDifferences(list, sectionQueues, before.Queues(), after.Queues(), queueFields)
	list = appendDifferences(list, sectionTeams, before.Teams(), after.Teams(), teamFields)
	list = appendDifferences(list, sectionKeys, before.Keys(), after.Keys(), keyFields)
	return appendDifferences(list, sectionInstances, before.Instances(), after.Instances(), instanceFields)
}

// entry is the name of an entry and its fields. All entries of a section have
// the same fields in the same order.
type entry struct {
	name   string
	fields []field
}

type field struct{ name, value string }

func zoneFields(z tmfleet.Zone) entry {
	return entry{z.Name(), []field{{"region", z.Region()}, {fieldOut, strconv.FormatBool(z.OutOfService())}}}
}

func poolFields(p tmfleet.Pool) entry {
	return entry{p.Name(), []field{{fieldMaxUnavailable, strconv.Itoa(p.Budget().MaxUnavailable())}}}
}

func queueFields(q tmfleet.Queue) entry {
	return entry{q.Name(), []field{{"pool", q.Pool()}, {"open", strconv.FormatBool(q.Open())}, {"team", q.Team()}}}
}

func teamFields(t tmfleet.Team) entry {
	return entry{t.Name(), []field{
		{fieldShare, strconv.Itoa(t.Share())},
		{fieldLimit, strconv.Itoa(t.Limit())},
		{"urgent", strconv.FormatBool(t.Urgent())},
	}}
}

func keyFields(k tmfleet.Key) entry {
	return entry{k.Label(), []field{{"hash", k.Hash()}, {"team", k.Team()}}}
}

func instanceFields(i tmfleet.Instance) entry {
	return entry{i.Name(), []field{
		{"address", i.Address()},
		{"zone", i.Zone()},
		{"rack", i.Rack()},
		{"pool", i.Pool()},
		{"move_to", i.MoveTo()},
		{"slots", strconv.Itoa(i.Slots())},
		{"duty", i.Duty().String()},
	}}
}

// appendDifferences compares two tables, removed entries first.
func appendDifferences[K cmp.Ordered, V any](list []Difference, section string, before, after tmfleet.Table[K, V], fields func(V) entry) []Difference {
	for key, v := range before.All() {
		if !after.Has(key) {
			list = append(list, difference(Removed, section, fields(v), entry{}))
		}
	}
	for key, v := range after.All() {
		old, ok := before.Get(key)
		if !ok {
			list = append(list, difference(Added, section, entry{}, fields(v)))
			continue
		}
		if d := difference(Changed, section, fields(old), fields(v)); len(d.Fields) > 0 {
			list = append(list, d)
		}
	}
	return list
}

// difference compares two entries, one of which may be the zero entry.
func difference(kind DifferenceKind, section string, before, after entry) Difference {
	d := Difference{Kind: kind, Section: section, Entry: cmp.Or(after.name, before.name)}
	for i := range max(len(before.fields), len(after.fields)) {
		var f FieldDifference
		if i < len(before.fields) {
			f.Field, f.Before = before.fields[i].name, before.fields[i].value
		}
		if i < len(after.fields) {
			f.Field, f.After = after.fields[i].name, after.fields[i].value
		}
		if f.Before != f.After {
			d.Fields = append(d.Fields, f)
		}
	}
	return d
}
