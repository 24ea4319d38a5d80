package judge

import (
	"cmp"
	"fmt"
	"slices"
)

// checkLimits finds starts that bring a team above its upper limit, counted
// over all endpoints. After a change the higher one of the two limits counts
// for changeBound. Tasks that were running when a limit was lowered may go on,
// so only starts are judged.
func checkLimits(e Evidence) []Violation {
	running := map[string]map[string]bool{}
	var list []Violation
	for _, ev := range inOrder(e.Events) {
		if running[ev.Team] == nil {
			running[ev.Team] = map[string]bool{}
		}
		tasks := running[ev.Team]
		switch ev.Kind {
		case "end", "stop":
			delete(tasks, ev.Attempt)
		case "start":
			tasks[ev.Attempt] = true
			limit, known := limitAt(e.Limits, ev.Team, ev.AtMs)
			if known && len(tasks) > limit {
				list = append(list, Violation{AboveLimit, ev.RequestID, fmt.Sprintf("%d tasks, limit %d: %s", len(tasks), limit, describe(ev))})
			}
		}
	}
	return list
}

// inOrder returns the events of tasks in order of time. At the same ms an end
// comes before a start, since the journals have no finer time.
func inOrder(events []Event) []Event {
	list := slices.DeleteFunc(slices.Clone(events), func(ev Event) bool {
		return ev.Kind != "start" && ev.Kind != "end" && ev.Kind != "stop"
	})
	list = withoutInstant(list)
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

// withoutInstant removes tasks that started and ended within the same ms. The
// order of such tasks among others can't be told.
func withoutInstant(events []Event) []Event {
	at := map[string]int64{}
	instant := map[string]bool{}
	for _, ev := range events {
		if ev.Kind == "start" {
			at[ev.Attempt] = ev.AtMs
		}
	}
	for _, ev := range events {
		start, found := at[ev.Attempt]
		if ev.Kind != "start" && found && start == ev.AtMs {
			instant[ev.Attempt] = true
		}
	}
	return slices.DeleteFunc(events, func(ev Event) bool { return instant[ev.Attempt] })
}

// limitAt returns the highest limit of the team that applied within changeBound
// before the point in time.
func limitAt(limits []Limit, team string, atMs int64) (int, bool) {
	var of []Limit
	for _, l := range limits {
		if l.Team == team && l.FromMs <= atMs {
			of = append(of, l)
		}
	}
	if len(of) == 0 {
		return 0, false
	}
	slices.SortStableFunc(of, func(a, b Limit) int { return cmp.Compare(a.FromMs, b.FromMs) })
	highest := of[len(of)-1].Tasks
	for i := range len(of) - 1 {
		if of[i+1].FromMs+changeBound.Milliseconds() >= atMs {
			highest = max(highest, of[i].Tasks)
		}
	}
	return highest, true
}

// checkZones finds starts in a zone that has been out for more than zoneBound.
func checkZones(e Evidence) []Violation {
	var list []Violation
	for _, ev := range e.Events {
		if ev.Kind != "start" {
			continue
		}
		for _, a := range e.Absences {
			late := ev.AtMs - a.FromMs
			back := a.UntilMs != 0 && ev.AtMs >= a.UntilMs
			if a.Zone == ev.Zone && late > zoneBound.Milliseconds() && !back {
				list = append(list, Violation{ZoneOut, ev.RequestID, fmt.Sprintf("%d ms after the zone was out: %s", late, describe(ev))})
			}
		}
	}
	return list
}

// checkAnswers finds answers that belong to another request.
func checkAnswers(e Evidence) []Violation {
	var list []Violation
	for _, s := range e.Submissions {
		if s.Code != CodeOK {
			continue
		}
		if s.AnswerEcho != s.Echo || s.AnswerID != s.RequestID {
			list = append(list, Violation{OtherAnswer, s.RequestID, fmt.Sprintf(
				"entry %s answered with echo %q of request %q, expected echo %q", s.Entry, s.AnswerEcho, s.AnswerID, s.Echo)})
		}
	}
	return list
}

// checkCut finds requests whose connection was cut by an entry that nobody
// killed on purpose.
func checkCut(e Evidence) []Violation {
	var list []Violation
	for _, s := range e.Submissions {
		if s.Cut && !slices.Contains(e.Killed, s.Entry) {
			list = append(list, Violation{CutRequest, s.RequestID, fmt.Sprintf("entry %s, sent at %d us: %s", s.Entry, s.SentUs, s.Message)})
		}
	}
	return list
}
