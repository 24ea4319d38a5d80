package tmquestion

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Problem is one invalid answer.
type Problem struct {
	// Field is the key of the question.
	Field string
	// Message says what is wrong with the answer, Expected describes a valid one.
	Message, Expected string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return p.Field + ": " + p.Message + ", expected " + p.Expected
}

// InvalidError lists every invalid answer.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "tmquestion: answers refused: " + strings.Join(lines, "\n")
}

// Answers holds the valid answers of one team.
type Answers struct {
	values map[string]string
}

// NewAnswers validates raw answers, which are given by the keys of their
// questions. It returns an *InvalidError with every invalid answer and every
// unknown key.
func NewAnswers(raw map[string]string) (Answers, error) {
	var problems []Problem
	values := make(map[string]string, len(questions))
	for _, q := range questions {
		if p := q.Check(raw[q.key]); p != nil {
			problems = append(problems, *p)
			continue
		}
		values[q.key] = q.withDefault(raw[q.key])
	}
	problems = append(problems, unknownKeys(raw)...)
	a := Answers{values: values}
	problems = append(problems, a.checkCombinations()...)
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

// checkCombinations finds answers that are each valid but contradict each other.
func (a Answers) checkCombinations() []Problem {
	if a.values[KeyUsualTasks] == "" || a.values[KeyLargestTasks] == "" || a.UsualTasks() <= a.LargestTasks() {
		return nil
	}
	return []Problem{{
		Field:    KeyUsualTasks,
		Message:  fmt.Sprintf("is %d, above %s", a.UsualTasks(), KeyLargestTasks),
		Expected: fmt.Sprintf("1 to %d", a.LargestTasks()),
	}}
}

// Team returns the name of the team.
func (a Answers) Team() string { return a.values[KeyTeam] }

// Work returns the description of the team's work.
func (a Answers) Work() string { return a.values[KeyWork] }

// LargestTasks returns the largest number of tasks that the team runs at a time.
func (a Answers) LargestTasks() int { return a.number(KeyLargestTasks) }

// UsualTasks returns the number of tasks that the team usually runs at a time.
func (a Answers) UsualTasks() int { return a.number(KeyUsualTasks) }

// Deadline returns the time within which callers need an answer.
func (a Answers) Deadline() time.Duration {
	d, _ := time.ParseDuration(a.values[KeyDeadline])
	return d
}

// Urgent reports whether some of the work is urgent.
func (a Answers) Urgent() bool { return a.values[KeyUrgent] == "yes" }

// Queues returns the names of the queues to which the team sends work. New queues
// are among them.
func (a Answers) Queues() []string { return splitList(a.values[KeyQueues]) }

// Pool returns the pool that serves new queues, or "".
func (a Answers) Pool() string { return a.values[KeyPool] }

// Open reports whether new queues accept work without a key.
func (a Answers) Open() bool { return a.values[KeyOpen] == "yes" }

// MaxUnavailable returns how many instances of each pool may be unavailable at a
// time, or 0 to keep the current budgets.
func (a Answers) MaxUnavailable() int { return a.number(KeyMaxUnavailable) }

// Repeatable reports whether requests are idempotent.
func (a Answers) Repeatable() bool { return a.values[KeyRepeatable] == "yes" }

// KeyHolders returns the names of the key holders. Each gets a key with the label
// that KeyLabel returns.
func (a Answers) KeyHolders() []string { return splitList(a.values[KeyKeyHolders]) }

func (a Answers) number(key string) int {
	n, _ := strconv.Atoi(a.values[key])
	return n
}

// withValue returns a copy of a in which key has the given value.
func (a Answers) withValue(key, value string) Answers {
	values := maps.Clone(a.values)
	values[key] = value
	return Answers{values: values}
}
