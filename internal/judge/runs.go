package judge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checkRunTwice finds requests that are not idempotent and ran more than once.
// A request whose ID is unknown because the response with it was lost counts as not
// idempotent when all submissions of its team to its queue are not idempotent.
func checkRunTwice(h History) []Violation {
	idempotent := map[requestKey]bool{}
	hasIdempotent := map[[2]string]bool{}
	for _, s := range h.Submissions {
		if s.RequestID != "" {
			idempotent[requestKey{s.Team, s.RequestID}] = s.Idempotent
		}
		if s.Idempotent {
			hasIdempotent[[2]string{s.Team, s.Queue}] = true
		}
	}
	var list []Violation
	for key, runs := range sortedRuns(h.Events) {
		if len(runs) < 2 {
			continue
		}
		mayRepeat, known := idempotent[key]
		if !known {
			mayRepeat = hasIdempotent[[2]string{key.team, runs[0].Queue}]
		}
		if mayRepeat {
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

// checkNotRun finds requests that ran although their caller received not_run. For
// an idempotent request that was submitted several times, not_run refers to one
// submission only. A start then counts if it can only come from that submission;
// see belongsOnlyTo.
func checkNotRun(h History) []Violation {
	runs := runsByRequest(h.Events)
	recorded := map[requestKey]string{}
	for _, r := range h.Runs {
		recorded[requestKey{r.Team, r.RequestID}] = r.Outcome
	}
	others := map[requestKey][]Submission{}
	for _, s := range h.Submissions {
		key := requestKey{s.Team, s.RequestID}
		others[key] = append(others[key], s)
	}
	var list []Violation
	for _, s := range h.Submissions {
		if s.Outcome != NotRun || s.RequestID == "" {
			continue
		}
		key := requestKey{s.Team, s.RequestID}
		for _, ev := range runs[key] {
			if s.Idempotent && !belongsOnlyTo(ev, s, others[key]) {
				continue
			}
			list = append(list, Violation{NotRunButRan, s.RequestID, fmt.Sprintf("entry %s said not_run (%s), but %s", s.Entry, s.Code, describe(ev))})
			break
		}
		if !s.Idempotent && recorded[key] == Ran {
			list = append(list, Violation{NotRunButRan, s.RequestID, fmt.Sprintf("entry %s said not_run (%s), but the record says ran", s.Entry, s.Code)})
		}
	}
	return list
}

// belongsOnlyTo reports whether the start can only come from submission s: it lies
// in the time of s, and of no other submission that may have run. Without such
// other submissions every start counts.
func belongsOnlyTo(ev Event, s Submission, all []Submission) bool {
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

// checkTeams finds tasks that ran for a different team or from a different queue
// than the request was submitted with.
func checkTeams(h History) []Violation {
	submitted := map[string][]Submission{}
	pairs := map[[2]string]bool{}
	for _, s := range h.Submissions {
		pairs[[2]string{s.Team, s.Queue}] = true
		if s.RequestID != "" {
			submitted[s.RequestID] = append(submitted[s.RequestID], s)
		}
	}
	var list []Violation
	for _, ev := range h.Events {
		if !startsRun(ev) {
			continue
		}
		submissions, known := submitted[ev.RequestID]
		matches := slices.ContainsFunc(submissions, func(s Submission) bool { return s.Team == ev.Team && s.Queue == ev.Queue })
		switch {
		case known && !matches:
			list = append(list, Violation{WrongTeam, ev.RequestID, fmt.Sprintf("submitted by team %s to queue %s, but %s", submissions[0].Team, submissions[0].Queue, describe(ev))})
		case !known && h.CompleteJournal && !pairs[[2]string{ev.Team, ev.Queue}]:
			list = append(list, Violation{WrongTeam, ev.RequestID, "the team submitted nothing to this queue, but " + describe(ev)})
		}
	}
	return list
}
