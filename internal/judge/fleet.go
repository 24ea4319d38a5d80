package judge

import (
	"cmp"
	"fmt"
	"slices"
)

// checkLimits finds starts that bring a team above its upper limit, counted
// over all endpoints. For changeTimeout after a change, the higher of the two
// limits applies. Tasks that were running when a limit was lowered may continue,
// so only starts are checked.
func checkLimits(h History) []Violation {
	running := map[string]map[string]bool{}
	var list []Violation
	for _, ev := range orderedTaskEvents(h.Events) {
		if running[ev.Team] == nil {
			running[ev.Team] = map[string]bool{}
		}
		tasks := running[ev.Team]
		switch ev.Kind {
		case "end", "stop":
			delete(tasks, ev.Attempt)
		case "start":
			tasks[ev.Attempt] = true
			limit, known := highestLimitAt(h.Limits, ev.Team, ev.AtMs)
			if known && len(tasks) > limit {
				list = append(list, Violation{AboveLimit, ev.RequestID, fmt.Sprintf("%d tasks, limit %d: %s", len(tasks), limit, describe(ev))})
			}
		}
	}
	return list
}

// orderedTaskEvents returns the events of tasks in order of time. Within the same
// millisecond, the resolution of the journals, ends come before starts.
func orderedTaskEvents(events []Event) []Event {
	list := slices.DeleteFunc(slices.Clone(events), func(ev Event) bool {
		return ev.Kind != "start" && ev.Kind != "end" && ev.Kind != "stop"
	})
	list = withoutZeroDuration(list)
	slices.SortStableFunc(list, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(rank(a), rank(b)))
	})
	return list
}

func rank(ev Event) int {
	if ev.Kind == "start" {
		return 1
	}
	return 0
}

// withoutZeroDuration removes tasks that started and ended within the same
// millisecond. Their order relative to other tasks is unknown.
func withoutZeroDuration(events []Event) []Event {
	startedAt := map[string]int64{}
	zeroDuration := map[string]bool{}
	for _, ev := range events {
		if ev.Kind == "start" {
			startedAt[ev.Attempt] = ev.AtMs
		}
	}
	for _, ev := range events {
		start, found := startedAt[ev.Attempt]
		if ev.Kind != "start" && found && start == ev.AtMs {
			zeroDuration[ev.Attempt] = true
		}
	}
	return slices.DeleteFunc(events, func(ev Event) bool { return zeroDuration[ev.Attempt] })
}

// highestLimitAt returns the highest limit of the team that applied at some time in
// the changeTimeout before atMs.
func highestLimitAt(limits []Limit, team string, atMs int64) (int, bool) {
	var teamLimits []Limit
	for _, l := range limits {
		if l.Team == team && l.FromMs <= atMs {
			teamLimits = append(teamLimits, l)
		}
	}
	if len(teamLimits) == 0 {
		return 0, false
	}
	slices.SortStableFunc(teamLimits, func(a, b Limit) int { return cmp.Compare(a.FromMs, b.FromMs) })
	highest := teamLimits[len(teamLimits)-1].Tasks
	for i := range len(teamLimits) - 1 {
		if teamLimits[i+1].FromMs+changeTimeout.Milliseconds() >= atMs {
			highest = max(highest, teamLimits[i].Tasks)
		}
	}
	return highest, true
}

// checkZones finds starts in a zone that has been out of service for more than
// evacuationTimeout.
func checkZones(h History) []Violation {
	var list []Violation
	for _, ev := range h.Events {
		if ev.Kind != "start" {
			continue
		}
		for _, a := range h.ZoneOutages {
			late := ev.AtMs - a.FromMs
			restored := a.UntilMs != 0 && ev.AtMs >= a.UntilMs
			if a.Zone == ev.Zone && late > evacuationTimeout.Milliseconds() && !restored {
				list = append(list, Violation{ZoneOutOfService, ev.RequestID, fmt.Sprintf("%d ms after the zone was taken out of service: %s", late, describe(ev))})
			}
		}
	}
	return list
}

// checkResponses finds responses to a different request.
func checkResponses(h History) []Violation {
	var list []Violation
	for _, s := range h.Submissions {
		if s.Code != CodeOK {
			continue
		}
		if s.ResponseEcho != s.Echo || s.ResponseID != s.RequestID {
			list = append(list, Violation{OtherResponse, s.RequestID, fmt.Sprintf(
				"entry %s responded with echo %q of request %q, expected echo %q", s.Entry, s.ResponseEcho, s.ResponseID, s.Echo)})
		}
	}
	return list
}

// checkCutRequests finds requests whose connection was closed early by an entry
// that the test didn't kill.
func checkCutRequests(h History) []Violation {
	var list []Violation
	for _, s := range h.Submissions {
		if s.Cut && !slices.Contains(h.KilledEntries, s.Entry) {
			list = append(list, Violation{CutRequest, s.RequestID, fmt.Sprintf("entry %s, sent at %d us: %s", s.Entry, s.SentUs, s.Message)})
		}
	}
	return list
}
