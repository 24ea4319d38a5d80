package tmcheck

import (
	"fmt"

	"turmericmoor/core/tmchange"
)

// The sections of a configuration and the fields that a change can set, named as
// in the JSON form of the configuration.
const (
	sectionZones     = "zones"
	sectionPools     = "pools"
	sectionQueues    = "queues"
	sectionTeams     = "teams"
	sectionKeys      = "keys"
	sectionInstances = "instances"

	fieldOut            = "out"
	fieldMaxUnavailable = "max_unavailable"
	fieldShare          = "share"
	fieldLimit          = "limit"
)

// target is what a change modifies: one field of an entry of the configuration,
// or the whole entry if field is empty.
type target struct{ section, entry, field string }

// role is what a change does with its target.
type role int

// The roles. A change without a known target has noRole.
const (
	noRole role = iota
	adds
	removes
	sets
)

// CheckFile returns the warnings that follow from the changes alone: the changes
// that a later one of the file overrides, so that they never take effect.
func CheckFile(changes []tmchange.Change) []Finding {
	var findings []Finding
	last := map[target]int{}
	for i, c := range changes {
		t, r := targetOf(c)
		if r == noRole {
			continue
		}
		if earlier, ok := last[t]; ok && overrides(changes[earlier], c) {
			findings = append(findings, Finding{
				Name:     ChangeOverridden,
				Place:    fmt.Sprintf("changes[%d]", earlier),
				Message:  fmt.Sprintf("%s has no effect, because changes[%d] is %s of the same %s", changes[earlier].Op(), i, c.Op(), t.entry),
				Expected: "only one of the two changes",
			})
		}
		last[t] = i
	}
	return findings
}

// checkEffects returns a warning for each change that is the last to set its
// target and leaves it as it is in the version in force.
func checkEffects(changes []tmchange.Change, differences []Difference) []Finding {
	differs := map[target]bool{}
	for _, d := range differences {
		differs[target{d.Section, d.Entry, ""}] = true
		for _, f := range d.Fields {
			differs[target{d.Section, d.Entry, f.Field}] = true
		}
	}
	last := map[target]int{}
	for i, c := range changes {
		if t, r := targetOf(c); r != noRole {
			last[t] = i
		}
	}
	var findings []Finding
	for i, c := range changes {
		if t, r := targetOf(c); r == sets && last[t] == i && !differs[t] {
			findings = append(findings, Finding{
				Name:     ChangeWithoutEffect,
				Place:    fmt.Sprintf("changes[%d]", i),
				Message:  fmt.Sprintf("%s leaves %s as it is in the version in force", c.Op(), t.entry),
				Expected: "another value, or no such change",
			})
		}
	}
	return findings
}

// overrides reports whether later, which has the same target, makes earlier
// useless. It doesn't if earlier has to come first: an entry is added before it
// is set and removed before it is added anew, and only a serving instance can be
// moved or drained.
func overrides(earlier, later tmchange.Change) bool {
	_, first := targetOf(earlier)
	_, second := targetOf(later)
	switch {
	case first == adds:
		return second == removes
	case first == removes:
		return false
	case earlier.Op() == tmchange.OpMarkServing:
		return later.Op() != tmchange.OpMoveInstance && later.Op() != tmchange.OpMarkDraining
	}
	return true
}

// targetOf returns what a change modifies, and noRole for changes that no other
// change of the same file can override.
func targetOf(change tmchange.Change) (target, role) {
	switch c := change.(type) {
	case tmchange.ZoneOut:
		return target{sectionZones, c.Name, fieldOut}, sets
	case tmchange.ZoneIn:
		return target{sectionZones, c.Name, fieldOut}, sets
	case tmchange.SetBudget:
		return target{sectionPools, c.Pool, fieldMaxUnavailable}, sets
	case tmchange.SetShare:
		return target{sectionTeams, c.Team, fieldShare}, sets
	case tmchange.SetLimit:
		return target{sectionTeams, c.Team, fieldLimit}, sets
	case tmchange.MoveInstance:
		return target{sectionInstances, c.Name, ""}, sets
	case tmchange.MarkLeaving:
		return target{sectionInstances, c.Name, ""}, sets
	case tmchange.MarkDraining:
		return target{sectionInstances, c.Name, ""}, sets
	case tmchange.MarkServing:
		return target{sectionInstances, c.Name, ""}, sets
	}
	return entryOf(change)
}

// entryOf returns the entry that a change adds or removes.
func entryOf(change tmchange.Change) (target, role) {
	switch c := change.(type) {
	case tmchange.AddPool:
		return target{sectionPools, c.Name, ""}, adds
	case tmchange.RemovePool:
		return target{sectionPools, c.Name, ""}, removes
	case tmchange.AddQueue:
		return target{sectionQueues, c.Name, ""}, adds
	case tmchange.RemoveQueue:
		return target{sectionQueues, c.Name, ""}, removes
	case tmchange.AddTeam:
		return target{sectionTeams, c.Name, ""}, adds
	case tmchange.RemoveTeam:
		return target{sectionTeams, c.Name, ""}, removes
	case tmchange.AddInstance:
		return target{sectionInstances, c.Name, ""}, adds
	case tmchange.RemoveInstance:
		return target{sectionInstances, c.Name, ""}, removes
	case tmchange.GrantKey:
		return target{sectionKeys, c.Label, ""}, adds
	case tmchange.WithdrawKey:
		if c.Label != "" {
			return target{sectionKeys, c.Label, ""}, removes
		}
	}
	return target{}, noRole
}
