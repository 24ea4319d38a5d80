package tmquestion

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Problem is one bad answer.
type Problem struct {
	// Field is the key of the question.
	Field string
	// Message says what is wrong, Expected what would be right.
	Message, Expected string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return p.Field + ": " + p.Message + ", expected " + p.Expected
}

// InvalidError lists every bad answer.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "tmquestion: answers refused: " + strings.Join(lines, "\n")
}

// Answers are the checked answers of one team.
type Answers struct {
	values map[string]string
}

// NewAnswers checks raw answers by the keys of their questions. It returns an
// *InvalidError with every bad answer, including unknown keys.
func NewAnswers(raw map[string]string) (Answers, error) {
	var problems []Problem
	values := make(map[string]string, len(questions))
	for _, q := range questions {
		if p := q.Check(raw[q.key]); p != nil {
			problems = append(problems, *p)
			continue
		}
		values[q.key] = q.fill(raw[q.key])
	}
	problems = append(problems, unknownKeys(raw)...)
	a := Answers{values: values}
	problems = append(problems, a.checkTogether()...)
	if len(problems) > 0 {
		return Answers{}, &InvalidError{Problems: problems}
	}
	return a, nil
}

func unknownKeys(raw map[string]string) []Problem {
	keys := make([]string, 0, len(questions))
	for _, q := range questions {
		keys = append(keys, q.key)
	}
	var problems []Problem
	for _, k := range slices.Sorted(maps.Keys(raw)) {
		if !slices.Contains(keys, k) {
			problems = append(problems, Problem{Field: k, Message: "is not a question", Expected: "one of " + strings.Join(keys, ", ")})
		}
	}
	return problems
}

// checkTogether finds answers that are right on their own but not together.
func (a Answers) checkTogether() []Problem {
	if a.values[KeyUsual] == "" || a.values[KeyLargest] == "" || a.Usual() <= a.Largest() {
		return nil
	}
	return []Problem{{
		Field:    KeyUsual,
		Message:  fmt.Sprintf("is %d, above %s", a.Usual(), KeyLargest),
		Expected: fmt.Sprintf("1 to %d", a.Largest()),
	}}
}

// Team returns the name of the team.
func (a Answers) Team() string { return a.values[KeyTeam] }

// Work returns what the work of the team does.
func (a Answers) Work() string { return a.values[KeyWork] }

// Largest returns the largest number of tasks at a time.
func (a Answers) Largest() int { return a.number(KeyLargest) }

// Usual returns the usual number of tasks at a time.
func (a Answers) Usual() int { return a.number(KeyUsual) }

// Deadline returns the time within which callers need an answer.
func (a Answers) Deadline() time.Duration {
	d, _ := time.ParseDuration(a.values[KeyDeadline])
	return d
}

// Urgent reports whether some work is urgent.
func (a Answers) Urgent() bool { return a.values[KeyUrgent] == "yes" }

// Queues returns the names of existing and new queues.
func (a Answers) Queues() []string { return splitList(a.values[KeyQueues]) }

// Pool returns the pool for new queues, or "".
func (a Answers) Pool() string { return a.values[KeyPool] }

// Open reports whether new queues take work without a key.
func (a Answers) Open() bool { return a.values[KeyOpen] == "yes" }

// MaxUnavailable returns how many instances of a pool may be unavailable, or 0
// to keep the present budgets.
func (a Answers) MaxUnavailable() int { return a.number(KeyMaxUnavailable) }

// Repeatable reports whether requests may be repeated safely.
func (a Answers) Repeatable() bool { return a.values[KeyRepeatable] == "yes" }

// KeyHolders returns who holds keys. Each gets a key with a label from
// KeyLabel.
func (a Answers) KeyHolders() []string { return splitList(a.values[KeyKeyHolders]) }

func (a Answers) number(key string) int {
	n, _ := strconv.Atoi(a.values[key])
	return n
}

// with returns a copy of a that has another value under key.
func (a Answers) with(key, value string) Answers {
	values := maps.Clone(a.values)
	values[key] = value
	return Answers{values: values}
}
