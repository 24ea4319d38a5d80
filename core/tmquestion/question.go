// Package tmquestion defines the questionnaire that each new team completes, and
// generates the configuration of the team from its answers. All functions are
// pure and safe for concurrent use.
package tmquestion

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericmoor/core/tmchange"
)

// Kind is the type of an answer.
type Kind int

// The types of answers. The names of a NameList are separated by commas.
const (
	Text Kind = iota
	Name
	NameList
	Number
	Duration
	YesNo
)

var kindFormats = [...]string{
	Text:     "1 to 200 characters on one line",
	Name:     "a name of " + tmchange.NameForm(),
	NameList: "names separated by commas, each of " + tmchange.NameForm(),
	Number:   "a whole number",
	Duration: "a time with its unit, for example 30s or 2m",
	YesNo:    "yes or no",
}

// The keys of the questions, which an answer file uses.
const (
	KeyTeam           = "team"
	KeyWork           = "work"
	KeyLargestTasks   = "largest_tasks"
	KeyUsualTasks     = "usual_tasks"
	KeyDeadline       = "deadline"
	KeyUrgent         = "urgent"
	KeyQueues         = "queues"
	KeyPool           = "pool"
	KeyOpen           = "open"
	KeyMaxUnavailable = "max_unavailable"
	KeyRepeatable     = "repeatable"
	KeyKeyHolders     = "key_holders"
)

// Limits on the answers.
const (
	maxTextLength = 200
	maxListLength = 20
	maxTasks      = 10_000_000
	// MinDeadline and MaxDeadline are the limits of the Tm-Timeout-Ms header.
	MinDeadline = 10 * time.Millisecond
	MaxDeadline = 5 * time.Minute
)

// Question is one question of the questionnaire.
type Question struct {
	key          string
	text         string
	help         string
	kind         Kind
	defaultValue string
	optional     bool
	minimum      int
	maximum      int
}

// Key returns the key of the question in an answer file.
func (q Question) Key() string { return q.key }

// Text returns the wording of the question.
func (q Question) Text() string { return q.text }

// Help returns a hint on what the answer is used for.
func (q Question) Help() string { return q.help }

// Kind returns the type of the answer.
func (q Question) Kind() Kind { return q.kind }

// Default returns the answer that is used in place of an empty one, or "" when
// there is no default.
func (q Question) Default() string { return q.defaultValue }

// Optional reports whether the answer may be empty.
func (q Question) Optional() bool { return q.optional || q.defaultValue != "" }

// Expected describes a valid answer.
func (q Question) Expected() string {
	if q.kind == Number {
		return fmt.Sprintf("%s from %d to %d", kindFormats[Number], q.minimum, q.maximum)
	}
	return kindFormats[q.kind]
}

// Questions returns the questions in the order in which to ask them. The caller
// owns the slice.
func Questions() []Question {
	return slices.Clone(questions)
}

var questions = []Question{
	{
		key: KeyTeam, kind: Name,
		text: "What is the team called?",
		help: "The name appears in the configuration and in metrics. It can't be changed later.",
	},
	{
		key: KeyWork, kind: Text,
		text: "What does its work do?",
		help: "One line for the operators who review the team. It is not stored.",
	},
	{
		key: KeyLargestTasks, kind: Number, minimum: 1, maximum: maxTasks,
		text: "What is the largest number of tasks that it runs at a time?",
		help: "This becomes the upper limit of the team over the whole fleet. Include the return after a holiday.",
	},
	{
		key: KeyUsualTasks, kind: Number, minimum: 1, maximum: maxTasks,
		text: "How many tasks does it usually run at a time?",
		help: "The share of the team on a full fleet is derived from this, relative to the other teams.",
	},
	{
		key: KeyDeadline, kind: Duration, defaultValue: "30s",
		text: "Within what time does a caller need its answer?",
		help: "Requests that are still queued after this time are dropped and reported as not run. 10ms to 5m.",
	},
	{
		key: KeyUrgent, kind: YesNo, defaultValue: "no",
		text: "Is some of the work urgent?",
		help: "Only teams with urgent work may mark requests as urgent. Urgent work goes before all other work.",
	},
	{
		key: KeyQueues, kind: NameList,
		text: "Which queues does it send to?",
		help: "Name existing queues, or new ones, which are then added.",
	},
	{
		key: KeyPool, kind: Name, optional: true,
		text: "Which pool serves the new queues?",
		help: "An existing pool. Leave it empty when all queues exist, or when there is only one pool.",
	},
	{
		key: KeyOpen, kind: YesNo, defaultValue: "no",
		text: "Are the new queues open to callers without a key?",
		help: "Work on an open queue counts for this team, whoever sends it.",
	},
	{
		key: KeyMaxUnavailable, kind: Number, optional: true, minimum: 1, maximum: tmchange.MaxSlots,
		text: "How many instances of each of its pools may be unavailable at a time?",
		help: "Maintenance stays within this number. It can only lower the present budget. Leave it empty to keep that.",
	},
	{
		key: KeyRepeatable, kind: YesNo, defaultValue: "no",
		text: "May its requests be repeated safely?",
		help: "Requests that are not repeatable run at most once and are not retried after a fault.",
	},
	{
		key: KeyKeyHolders, kind: NameList, optional: true,
		text: "Who holds its keys?",
		help: "Each holder gets a key of its own, so that one key can be withdrawn without the others.",
	},
}

// Check returns nil when value is a valid answer, or the Problem with it.
func (q Question) Check(value string) *Problem {
	value = q.withDefault(value)
	if value == "" {
		if q.optional {
			return nil
		}
		return q.problem("is not answered")
	}
	if !q.matches(value) {
		return q.problem(fmt.Sprintf("%q is no answer", value))
	}
	return nil
}

func (q Question) problem(message string) *Problem {
	return &Problem{Field: q.key, Message: message, Expected: q.Expected()}
}

// withDefault returns the trimmed answer, or the default if it is empty.
func (q Question) withDefault(value string) string {
	value = strings.TrimSpace(value)
	if value == "" {
		return q.defaultValue
	}
	return value
}

func (q Question) matches(value string) bool {
	switch q.kind {
	case Text:
		return len(value) <= maxTextLength && !strings.ContainsAny(value, "\r\n")
	case Name:
		return tmchange.ValidName(value)
	case NameList:
		return validList(splitList(value))
	case Number:
		n, err := strconv.Atoi(value)
		return err == nil && n >= q.minimum && n <= q.maximum
	case Duration:
		d, err := time.ParseDuration(value)
		return err == nil && d >= MinDeadline && d <= MaxDeadline
	case YesNo:
		return value == "yes" || value == "no"
	}
	return false
}

func splitList(value string) []string {
	if value == "" {
		return nil
	}
	parts := strings.Split(value, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}
	return parts
}

func validList(names []string) bool {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if !tmchange.ValidName(n) || seen[n] {
			return false
		}
		seen[n] = true
	}
	return len(names) <= maxListLength
}
