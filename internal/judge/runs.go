package judge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checkRunTwice finds requests that are not idempotent and ran more than once.
// A request whose id is not known, because the answer that names it was lost,
// counts as not idempotent when all submissions of its team to its queue are.
func checkRunTwice(e Evidence) []Violation {
	idempotent := map[requestKey]bool{}
	mixed := map[[2]string]bool{}
	for _, s := range e.Submissions {
		if s.RequestID != "" {
			idempotent[requestKey{s.Team, s.RequestID}] = s.Idempotent
		}
		if s.Idempotent {
			mixed[[2]string{s.Team, s.Queue}] = true
		}
	}
	var list []Violation
	for key, runs := range sortedRuns(e.Events) {
		if len(runs) < 2 {
			continue
		}
		repeatable, known := idempotent[key]
		if !known {
			repeatable = mixed[[2]string{key.team, runs[0].Queue}]
		}
		if repeatable {
			continue
		}
		var where []string
		for _, ev := range runs {
			where = append(where, describe(ev))
		}
		list = append(list, Violation{RunTwice, key.id, fmt.Sprintf("%d runs: %s", len(runs), strings.Join(where, "; "))})
	}
	return list
}

// sortedRuns yields the starts of each request in a stable order.
func sortedRuns(events []Event) func(func(requestKey, []Event) bool) {
	runs := runsByRequest(events)
	keys := slices.SortedFunc(maps.Keys(runs), func(a, b requestKey) int {
		return strings.Compare(a.id+"/"+a.team, b.id+"/"+b.team)
	})
	return func(yield func(requestKey, []Event) bool) {
		for _, key := range keys {
			if !yield(key, runs[key]) {
				return
			}
		}
	}
}

// checkNotRun finds requests that ran although their caller was told not_run.
// For an idempotent request that was submitted several times, not_run speaks of
// one submission: a start counts when it lies in the time of that submission
// and of no other one.
func checkNotRun(e Evidence) []Violation {
	runs := runsByRequest(e.Events)
	recorded := map[requestKey]string{}
	for _, r := range e.Runs {
		recorded[requestKey{r.Team, r.RequestID}] = r.Outcome
	}
	others := map[requestKey][]Submission{}
	for _, s := range e.Submissions {
		key := requestKey{s.Team, s.RequestID}
		others[key] = append(others[key], s)
	}
	var list []Violation
	for _, s := range e.Submissions {
		if s.Outcome != NotRun || s.RequestID == "" {
			continue
		}
		key := requestKey{s.Team, s.RequestID}
		for _, ev := range runs[key] {
			if s.Idempotent && !mustBelong(ev, s, others[key]) {
				continue
			}
			list = append(list, Violation{NotRunRan, s.RequestID, fmt.Sprintf("entry %s said not_run (%s), but %s", s.Entry, s.Code, describe(ev))})
			break
		}
		if !s.Idempotent && recorded[key] == Ran {
			list = append(list, Violation{NotRunRan, s.RequestID, fmt.Sprintf("entry %s said not_run (%s), but the record says ran", s.Entry, s.Code)})
		}
	}
	return list
}

// mustBelong reports whether the start can only come from submission s.
func mustBelong(ev Event, s Submission, all []Submission) bool {
	others := 0
	for _, o := range all {
		if o.Outcome == NotRun {
			continue
		}
		others++
		if covers(o, ev) {
			return false
		}
	}
	return others == 0 || covers(s, ev)
}

func covers(s Submission, ev Event) bool {
	return s.SentUs/1000 <= ev.AtMs && ev.AtMs <= s.EndedUs/1000
}

// checkTeams finds tasks that ran for another team or from another queue than
// the request was submitted for.
func checkTeams(e Evidence) []Violation {
	submitted := map[string][]Submission{}
	pairs := map[[2]string]bool{}
	for _, s := range e.Submissions {
		pairs[[2]string{s.Team, s.Queue}] = true
		if s.RequestID != "" {
			submitted[s.RequestID] = append(submitted[s.RequestID], s)
		}
	}
	var list []Violation
	for _, ev := range e.Events {
		if !isRun(ev) {
			continue
		}
		of, known := submitted[ev.RequestID]
		right := slices.ContainsFunc(of, func(s Submission) bool { return s.Team == ev.Team && s.Queue == ev.Queue })
		switch {
		case known && !right:
			list = append(list, Violation{WrongTeam, ev.RequestID, fmt.Sprintf("submitted by team %s to queue %s, but %s", of[0].Team, of[0].Queue, describe(ev))})
		case !known && e.Complete && !pairs[[2]string{ev.Team, ev.Queue}]:
			list = append(list, Violation{WrongTeam, ev.RequestID, "the team submitted nothing to this queue, but " + describe(ev)})
		}
	}
	return list
}
