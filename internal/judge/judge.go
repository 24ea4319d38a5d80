package judge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Upper limits that the design guarantees.
const (
	// evacuationTimeout is how long tasks may start in a zone after operators
	// took it out of service.
	evacuationTimeout = 5 * time.Second
	// changeTimeout is how long the old limit of a team may apply after a change.
	changeTimeout = 8 * time.Second
)

// Rule identifies a guarantee.
type Rule string

// The rules.
const (
	RunTwice         Rule = "run_twice"
	NotRunButRan     Rule = "not_run_but_ran"
	WrongTeam        Rule = "wrong_team"
	AboveLimit       Rule = "above_limit"
	ZoneOutOfService Rule = "zone_out"
	OtherResponse    Rule = "other_answer"
	CutRequest       Rule = "cut_request"
	BelowBudget      Rule = "below_budget"
)

// Rules returns all rules in the order of the report.
func Rules() []Rule {
	return []Rule{RunTwice, NotRunButRan, WrongTeam, AboveLimit, ZoneOutOfService, OtherResponse, CutRequest, BelowBudget}
}

// Violation is one violation of a rule.
type Violation struct {
	Rule      Rule   `json:"rule"`
	RequestID string `json:"request_id,omitempty"`
	Detail    string `json:"detail"`
}

// ZoneOutage is a period in which an availability zone is out of service, in
// milliseconds since the Unix epoch. UntilMs is 0 while the outage lasts.
type ZoneOutage struct {
	Zone    string
	FromMs  int64
	UntilMs int64
}

// Limit is the upper limit of a team from FromMs on.
type Limit struct {
	Team   string
	FromMs int64
	Tasks  int
}

// Run is a record of a request in the table service.
type Run struct {
	RequestID string
	Team      string
	// Outcome is empty while the state of the record is not done.
	Outcome string
}

// History is everything that was observed in a test run, the input of Check.
type History struct {
	Submissions []Submission
	Events      []Event
	ZoneOutages []ZoneOutage
	Limits      []Limit
	Runs        []Run
	Budgets     []Budget
	// KilledEntries are the URLs of entries that the test killed. Requests whose
	// connection they cut are not violations.
	KilledEntries []string
	// CompleteJournal is set when the journal has all submissions to its queues, so
	// that a task of a team that submitted nothing to the queue is a violation.
	CompleteJournal bool
}

// requestKey identifies a request: two teams may use the same id.
type requestKey struct {
	team, id string
}

// Check returns all violations, ordered by rule.
func Check(h History) []Violation {
	var all []Violation
	for _, check := range []func(History) []Violation{
		checkRunTwice,
		checkNotRun,
		checkTeams,
		checkLimits,
		checkZones,
		checkResponses,
		checkCutRequests,
		checkBudgets,
	} {
		all = append(all, check(h)...)
	}
	return all
}

// Table returns the count for each rule and the violations, one per line.
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

// startsRun reports whether the event starts a run. A task that resumes from a
// checkpoint continues the same run.
func startsRun(ev Event) bool {
	return ev.Kind == "start" && ev.Reason != "resumed"
}

// runsByRequest returns the starts of each request, in order of time.
func runsByRequest(events []Event) map[requestKey][]Event {
	runs := map[requestKey][]Event{}
	for _, ev := range events {
		if startsRun(ev) {
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
