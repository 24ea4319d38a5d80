// Package tmcheck validates a change file before it is sent: it reports the
// errors for which the file would be refused, and warns of entries that can never
// take effect and of limits that contradict each other. All functions are pure
// and safe for concurrent use.
package tmcheck

import (
	"errors"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

// Severity says whether a file with the finding can be applied.
type Severity int

// The severities. A file with an Error is refused when it is applied, one with
// a Warning is not.
const (
	Warning Severity = iota
	Error
)

// String returns the name in snake_case.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Name is the stable name of a kind of finding, in snake_case. An error has the
// name of its tmchange.ProblemKind.
type Name string

// The names of the warnings, described in docs/CHECKS.md.
const (
	ChangeOverridden     Name = "change_overridden"
	ChangeWithoutEffect  Name = "change_without_effect"
	QueueUnserved        Name = "queue_unserved"
	PoolWithoutInstances Name = "pool_without_instances"
	ZoneWithoutInstances Name = "zone_without_instances"
	TeamWithoutAccess    Name = "team_without_access"
	LimitAbovePools      Name = "limit_above_pools"
	BudgetCoversPool     Name = "budget_covers_pool"
	BudgetOverrun        Name = "budget_overrun"
)

// Finding is one result of a check.
type Finding struct {
	Name     Name
	Severity Severity
	// Place is a field of the file, for example "changes[2].pool", or an entry of
	// the resulting configuration, for example "teams.crews".
	Place string
	// Message says what is wrong, Expected what would be right.
	Message, Expected string
	// InForce reports whether the version in force has the same finding, so that
	// the file isn't its cause.
	InForce bool
}

// Report is the result of Check.
type Report struct {
	// Findings lists errors first. If there are errors, warnings about the
	// resulting configuration are missing, because there is none.
	Findings []Finding
	// Differences lists what the changes make of the version in force. It is empty
	// if there are errors.
	Differences []Difference
}

// Check checks changes against the version in force. It returns the error of
// tmchange.Apply along with the Report, which contains its problems.
func Check(s tmfleet.State, live tmchange.Liveness, changes []tmchange.Change) (Report, error) {
	after, err := tmchange.Apply(s, live, changes)
	if err != nil {
		return Report{Findings: append(FromError(err), CheckFile(changes)...)}, err
	}
	differences := Differences(s.Config(), after)
	findings := append(CheckFile(changes), checkEffects(changes, differences)...)
	findings = append(findings, checkResult(s.Config(), after, live)...)
	return Report{Findings: findings, Differences: differences}, nil
}

// FromError returns the problems of a *tmchange.InvalidError as findings, and
// nil for other errors.
func FromError(err error) []Finding {
	var invalid *tmchange.InvalidError
	if !errors.As(err, &invalid) {
		return nil
	}
	findings := make([]Finding, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		findings = append(findings, Finding{
			Name:     Name(p.Kind),
			Severity: Error,
			Place:    p.Field,
			Message:  p.Message,
			Expected: p.Expected,
		})
	}
	return findings
}

// checkResult returns the warnings about the configuration after the changes.
func checkResult(before, after tmfleet.Config, live tmchange.Liveness) []Finding {
	type identity struct {
		name  Name
		place string
	}
	inForce := map[identity]bool{}
	for _, f := range checkConfig(before, live) {
		inForce[identity{f.Name, f.Place}] = true
	}
	findings := checkConfig(after, live)
	for i, f := range findings {
		findings[i].InForce = inForce[identity{f.Name, f.Place}]
	}
	return findings
}
