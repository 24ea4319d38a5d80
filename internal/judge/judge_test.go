package judge_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/internal/judge"
	"turmericmoor/internal/standin/tmfakeplatform"
)

const id = "01930000-0000-7000-8000-000000000001"

// validHistory returns a history without a violation: one request that ran from
// 1,000 ms to 2,000 ms.
func validHistory() judge.History {
	return judge.History{
		Submissions: []judge.Submission{{
			Team: "crews", Queue: "scans", Echo: "e1", RequestID: id, CallerChoseID: true, Entry: "http://a",
			SentUs: 999_000, EndedUs: 2_001_000, Code: judge.CodeOK, Outcome: judge.Ran, ResponseEcho: "e1", ResponseID: id,
		}},
		Events: []judge.Event{event("start", 1000, "x", id), event("end", 2000, "x", id)},
		Limits: []judge.Limit{{Team: "crews", Tasks: 1}},
	}
}

func event(kind string, atMs int64, attempt, request string) judge.Event {
	return judge.Event{Kind: kind, AtMs: atMs, Attempt: attempt, RequestID: request, Team: "crews", Queue: "scans", Zone: "a", Endpoint: "ep"}
}

// Each case guards against a violation that Check misses. The change of the case
// is the only difference from a history that passes.
func TestViolationsAreFound(t *testing.T) {
	assert.Equal(t, len(judge.Check(validHistory())), 0)
	cases := []struct {
		name   string
		rule   judge.Rule
		change func(h *judge.History)
	}{
		{"second run", judge.RunTwice, func(h *judge.History) {
			h.Events = append(h.Events, event("start", 3000, "y", id), event("end", 4000, "y", id))
		}},
		{"second run under an ID missing from all responses", judge.RunTwice, func(h *judge.History) {
			h.Events = append(h.Events, event("start", 3000, "y", "u"), event("end", 4000, "y", "u"), event("start", 5000, "z", "u"))
		}},
		{"not_run that ran", judge.NotRunButRan, func(h *judge.History) {
			h.Submissions[0].Code, h.Submissions[0].Outcome = "deadline", judge.NotRun
		}},
		{"idempotent not_run that ran", judge.NotRunButRan, func(h *judge.History) {
			h.Submissions[0].Code, h.Submissions[0].Outcome, h.Submissions[0].Idempotent = "deadline", judge.NotRun, true
		}},
		{"not_run of one of two idempotent submissions", judge.NotRunButRan, func(h *judge.History) {
			second := h.Submissions[0]
			second.Idempotent, second.Code, second.Outcome = true, "deadline", judge.NotRun
			second.SentUs, second.EndedUs = 5_000_000, 6_000_000
			h.Submissions[0].Idempotent = true
			h.Submissions = append(h.Submissions, second)
			h.Events = append(h.Events, event("start", 5500, "y", id), event("end", 5600, "y", id))
		}},
		{"not_run with a record that says ran", judge.NotRunButRan, func(h *judge.History) {
			h.Submissions[0].Code, h.Submissions[0].Outcome = "deadline", judge.NotRun
			h.Events = nil
			h.Runs = []judge.Run{{RequestID: id, Team: "crews", Outcome: judge.Ran}}
		}},
		{"other team", judge.WrongTeam, func(h *judge.History) {
			h.Events[0].Team, h.Events[1].Team = "rivals", "rivals"
		}},
		{"other queue", judge.WrongTeam, func(h *judge.History) {
			h.Events[0].Queue, h.Events[1].Queue = "parts", "parts"
		}},
		{"team that submitted nothing", judge.WrongTeam, func(h *judge.History) {
			h.CompleteJournal = true
			ev := event("start", 5000, "y", "u")
			ev.Team = "rivals"
			h.Events = append(h.Events, ev)
		}},
		{"above the limit", judge.AboveLimit, func(h *judge.History) {
			h.Events = append(h.Events, event("start", 1999, "y", "other"))
		}},
		{"above a limit lowered 8.001 s ago", judge.AboveLimit, func(h *judge.History) {
			h.Limits = []judge.Limit{{Team: "crews", Tasks: 2}, {Team: "crews", FromMs: 5000, Tasks: 1}}
			h.Events = append(h.Events, event("start", 12_000, "y", "o1"), event("start", 13_001, "z", "o2"))
		}},
		{"zone out of service", judge.ZoneOutOfService, func(h *judge.History) {
			h.ZoneOutages = []judge.ZoneOutage{{Zone: "a", FromMs: -4001}}
		}},
		{"response to another request", judge.OtherResponse, func(h *judge.History) {
			h.Submissions[0].ResponseEcho = "e2"
		}},
		{"response with another ID", judge.OtherResponse, func(h *judge.History) {
			h.Submissions[0].ResponseID = "other"
		}},
		{"cut request", judge.CutRequest, func(h *judge.History) {
			h.Submissions[0].Cut, h.Submissions[0].Code, h.Submissions[0].Outcome = true, "answer_lost", judge.Unknown
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.change(&h)
			found := judge.Check(h)
			assert.Equal(t, len(found), 1, judge.Table(found))
			assert.Equal(t, found[0].Rule, c.rule)
			assert.Assert(t, strings.Contains(judge.Table(found), string(c.rule)))
		})
	}
}

// Guards against a Check that reports permitted behavior as a violation.
func TestPermittedIsNotReported(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *judge.History)
	}{
		{"idempotent retry", func(h *judge.History) {
			h.Submissions[0].Idempotent = true
			h.Events = append(h.Events, event("start", 3000, "y", id), event("end", 4000, "y", id))
		}},
		{"checkpoint", func(h *judge.History) {
			ev := event("start", 2000, "y", id)
			ev.Reason = "resumed"
			h.Events = append(h.Events, ev)
		}},
		{"idempotent repetition that did not run", func(h *judge.History) {
			second := h.Submissions[0]
			second.Idempotent, second.Code, second.Outcome = true, "deadline", judge.NotRun
			second.SentUs, second.EndedUs = 5_000_000, 6_000_000
			h.Submissions[0].Idempotent = true
			h.Submissions = append(h.Submissions, second)
		}},
		{"limit lowered 8 s ago", func(h *judge.History) {
			h.Limits = []judge.Limit{{Team: "crews", Tasks: 2}, {Team: "crews", FromMs: 5000, Tasks: 1}}
			h.Events = append(h.Events, event("start", 12_000, "y", "o1"), event("start", 13_000, "z", "o2"))
		}},
		{"start at the ms of an end", func(h *judge.History) {
			h.Events = append([]judge.Event{event("start", 2000, "y", "other")}, h.Events...)
		}},
		{"zone out of service for 5 s", func(h *judge.History) {
			h.ZoneOutages = []judge.ZoneOutage{{Zone: "a", FromMs: -4000}, {Zone: "b", FromMs: -9000}}
		}},
		{"zone back in service", func(h *judge.History) {
			h.ZoneOutages = []judge.ZoneOutage{{Zone: "a", FromMs: -9000, UntilMs: 1000}}
		}},
		{"cut by an entry that was killed", func(h *judge.History) {
			h.Submissions[0].Cut, h.Submissions[0].Code, h.Submissions[0].Outcome = true, "answer_lost", judge.Unknown
			h.KilledEntries = []string{"http://a"}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.change(&h)
			found := judge.Check(h)
			assert.Equal(t, len(found), 0, judge.Table(found))
		})
	}
}

// Guards against limits and records that are decoded wrongly from the rows of
// the table service, so that Check would miss violations.
func TestPlatformRows(t *testing.T) {
	platform := tmfakeplatform.New(tmfakeplatform.Options{})
	defer platform.Close()
	server := httptest.NewServer(platform)
	defer server.Close()
	body := fmt.Sprintf(`{"writes":[
		{"table":"state_history","key":"1","value":{"version":1,"written_ms":100,"changes":[{"op":"add_team","name":"crews","share":1,"limit":4,"urgent":false}]}},
		{"table":"state_history","key":"2","value":{"version":2,"written_ms":200,"changes":[{"op":"set_limit","team":"crews","limit":2}]}},
		{"table":"run","key":"000000001/crews%%2F1/%s","value":{"state":"done","outcome":"ran"}}]}`, id)
	resp, err := http.Post(server.URL+"/v1/tables/txn", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	limits, err := judge.PlatformLimits(context.Background(), server.Client(), server.URL)
	assert.NilError(t, err)
	assert.DeepEqual(t, limits, []judge.Limit{{Team: "crews", FromMs: 100, Tasks: 4}, {Team: "crews", FromMs: 200, Tasks: 2}})
	runs, err := judge.PlatformRuns(context.Background(), server.Client(), server.URL)
	assert.NilError(t, err)
	assert.DeepEqual(t, runs, []judge.Run{{RequestID: id, Team: "crews/1", Outcome: judge.Ran}})
}
