package judge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of the design.
const (
	// zoneBound is how long after operators took a zone out tasks may start in
	// it.
	zoneBound = 5 * time.Second
	// changeBound is how long the old limit of a team may apply after a change.
	changeBound = 8 * time.Second
)

// Rule names a promise.
type Rule string

// The rules.
const (
	RunTwice    Rule = "run_twice"
	NotRunRan   Rule = "not_run_but_ran"
	WrongTeam   Rule = "wrong_team"
	AboveLimit  Rule = "above_limit"
	ZoneOut     Rule = "zone_out"
	OtherAnswer Rule = "other_answer"
	CutRequest  Rule = "cut_request"
	BelowBudget Rule = "below_budget"
)

// Rules returns all rules in the order of the report.
func Rules() []Rule {
	return []Rule{RunTwice, NotRunRan, WrongTeam, AboveLimit, ZoneOut, OtherAnswer, CutRequest, BelowBudget}
}

// Violation is one broken promise.
type Violation struct {
	Rule      Rule   `json:"rule"`
	RequestID string `json:"request_id,omitempty"`
	Detail    string `json:"detail"`
}

// Absence is a time in which an availability zone is out, in ms since the Unix
// epoch. UntilMs is 0 when it stays out.
type Absence struct {
	Zone    string
	FromMs  int64
	UntilMs int64
}

// Limit is the upper limit of a team from a point in time on.
type Limit struct {
	Team   string
	FromMs int64
	Tasks  int
}

// Run is a record of a request in the table service.
type Run struct {
	RequestID string
	Team      string
	// Outcome is empty while the record says started.
	Outcome string
}

// Evidence is everything that is judged.
type Evidence struct {
	Submissions []Submission
	Events      []Event
	Absences    []Absence
	Limits      []Limit
	Runs        []Run
	Budgets     []Budget
	// Killed are the URLs of entries that were killed on purpose. Requests cut
	// there are no violation.
	Killed []string
	// Complete says that the journal has all submissions to its queues, so that
	// a task of a team that submitted nothing to a queue is a violation.
	Complete bool
}

// requestKey identifies a request: two teams may use the same id.
type requestKey struct {
	team, id string
}

// Check returns all violations, ordered by rule.
func Check(e Evidence) []Violation {
	var all []Violation
	for _, check := range []func(Evidence) []Violation{
		checkRunTwice,
		checkNotRun,
		checkTeams,
		checkLimits,
		checkZones,
		checkAnswers,
		checkCut,
		checkBudgets,
	} {
		all = append(all, check(e)...)
	}
	return all
}

// Table returns a count for each rule and the violations, one on a line.
func Table(list []Violation) string {
	counts := map[Rule]int{}
	for _, v := range list {
		counts[v.Rule]++
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-18s %s\n", "rule", "violations")
	for _, rule := range Rules() {
		fmt.Fprintf(&b, "%-18s %d\n", rule, counts[rule])
	}
	for _, v := range list {
		fmt.Fprintf(&b, "%s %s: %s\n", v.Rule, cmp.Or(v.RequestID, "-"), v.Detail)
	}
	return b.String()
}

// isRun reports whether the event begins a run. A task that goes on from a
// checkpoint is still the same run.
func isRun(ev Event) bool {
	return ev.Kind == "start" && ev.Reason != "resumed"
}

// runsByRequest returns the starts of each request, in order of time.
func runsByRequest(events []Event) map[requestKey][]Event {
	runs := map[requestKey][]Event{}
	for _, ev := range events {
		if isRun(ev) {
			key := requestKey{ev.Team, ev.RequestID}
			runs[key] = append(runs[key], ev)
		}
	}
	for _, list := range runs {
		slices.SortStableFunc(list, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	}
	return runs
}

func describe(ev Event) string {
	return fmt.Sprintf("attempt %s at endpoint %s (zone %s) for team %s, queue %s, at %d",
		ev.Attempt, ev.Endpoint, ev.Zone, ev.Team, ev.Queue, ev.AtMs)
}
