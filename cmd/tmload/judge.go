package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"turmericmoor/internal/judge"
)

// callTimeout bounds one call to an endpoint or the platform.
const callTimeout = 60 * time.Second

type judgeFlags struct {
	journals  []string
	endpoints []string
	events    []string
	platform  string
	limits    []string
	zones     []string
	budgets   []string
	killed    []string
	complete  bool
}

func newJudgeCommand() *cobra.Command {
	var f judgeFlags
	cmd := &cobra.Command{
		Use:   "judge",
		Short: "Judge the journals of callers and endpoints",
		Long: `judge reads the journals of submissions, the journals of endpoints and the rows
of the platform, and prints a table of violations. The exit code is 1 when there
is any.`,
		Example: `  tmload judge --journal journal.jsonl --endpoint http://127.0.0.1:7001 \
    --platform http://127.0.0.1:8080 --zone-out zone-a=1796367600000`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			evidence, err := f.collect(cmd.Context())
			if err != nil {
				return err
			}
			found := judge.Check(evidence)
			if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%d submissions, %d events of endpoints, %d records\n%s%s",
				len(evidence.Submissions), len(evidence.Events), len(evidence.Runs),
				judge.Summary(evidence.Submissions), judge.Table(found)); err != nil {
				return err
			}
			if len(found) > 0 {
				return errViolations
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.journals, "journal", nil, "journal of submissions; may be repeated")
	flags.StringSliceVar(&f.endpoints, "endpoint", nil, "URL of an endpoint; may be repeated")
	flags.StringSliceVar(&f.events, "events", nil, "file with the answer of GET /v1/journal, for an endpoint that is gone; may be repeated")
	flags.StringVar(&f.platform, "platform", "", "URL of the platform, for limits and records")
	flags.StringSliceVar(&f.limits, "limit", nil, "limit of a team as team=tasks, in place of the platform's rows")
	flags.StringSliceVar(&f.zones, "zone-out", nil, "zone that was taken out as name=unix ms, or name=unix ms-unix ms when it came back")
	flags.StringArrayVar(&f.budgets, "budget", nil, "availability budget of a pool as pool=instances:endpoint,endpoint,...; may be repeated")
	flags.StringSliceVar(&f.killed, "killed", nil, "URL of an entry that was killed on purpose, which may cut requests")
	flags.BoolVar(&f.complete, "complete", false, "the journals have all submissions, so that other tasks are violations")
	return cmd
}

func (f *judgeFlags) collect(ctx context.Context) (judge.History, error) {
	e := judge.History{KilledEntries: f.killed, CompleteJournal: f.complete}
	client := &http.Client{Timeout: callTimeout}
	for _, step := range []func(context.Context, *http.Client, *judge.History) error{
		f.readSubmissions, f.readEvents, f.readPlatform, f.readFlags,
	} {
		if err := step(ctx, client, &e); err != nil {
			return judge.History{}, err
		}
	}
	return e, nil
}

func (f *judgeFlags) readSubmissions(_ context.Context, _ *http.Client, e *judge.History) error {
	if len(f.journals) == 0 {
		return fmt.Errorf("no journal of submissions, expected --journal")
	}
	for _, path := range f.journals {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		list, err := judge.ReadSubmissions(file)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		e.Submissions = append(e.Submissions, list...)
	}
	return nil
}

func (f *judgeFlags) readEvents(ctx context.Context, client *http.Client, e *judge.History) error {
	if len(f.endpoints)+len(f.events) == 0 {
		return fmt.Errorf("no journal of endpoints, expected --endpoint or --events")
	}
	for _, base := range f.endpoints {
		events, err := judge.EndpointEvents(ctx, client, strings.TrimSuffix(base, "/"), 0)
		if err != nil {
			return err
		}
		e.Events = append(e.Events, events...)
	}
	for _, path := range f.events {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var w struct {
			Events []judge.Event `json:"events"`
		}
		if err := json.Unmarshal(data, &w); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		e.Events = append(e.Events, w.Events...)
	}
	return nil
}

func (f *judgeFlags) readPlatform(ctx context.Context, client *http.Client, e *judge.History) error {
	if f.platform == "" {
		return nil
	}
	base := strings.TrimSuffix(f.platform, "/")
	var err error
	if e.Limits, err = judge.PlatformLimits(ctx, client, base); err != nil {
		return err
	}
	e.Runs, err = judge.PlatformRuns(ctx, client, base)
	return err
}

func (f *judgeFlags) readFlags(_ context.Context, _ *http.Client, e *judge.History) error {
	if len(f.limits) > 0 {
		e.Limits = nil
	}
	for _, text := range f.limits {
		team, value, _ := strings.Cut(text, "=")
		tasks, err := strconv.Atoi(value)
		if err != nil || team == "" || tasks < 0 {
			return fmt.Errorf("--limit %q, expected team=tasks", text)
		}
		e.Limits = append(e.Limits, judge.Limit{Team: team, Tasks: tasks})
	}
	for _, text := range f.zones {
		absence, err := parseAbsence(text)
		if err != nil {
			return err
		}
		e.ZoneOutages = append(e.ZoneOutages, absence)
	}
	for _, text := range f.budgets {
		budget, err := parseBudget(text)
		if err != nil {
			return err
		}
		e.Budgets = append(e.Budgets, budget)
	}
	return nil
}

func parseBudget(text string) (judge.Budget, error) {
	pool, rest, _ := strings.Cut(text, "=")
	number, endpoints, found := strings.Cut(rest, ":")
	most, err := strconv.Atoi(number)
	if err != nil || pool == "" || !found || most < 0 {
		return judge.Budget{}, fmt.Errorf("--budget %q, expected pool=instances:endpoint,endpoint", text)
	}
	return judge.Budget{Pool: pool, MaxUnavailable: most, Endpoints: strings.Split(endpoints, ",")}, nil
}

func parseAbsence(text string) (judge.ZoneOutage, error) {
	name, times, _ := strings.Cut(text, "=")
	first, second, back := strings.Cut(times, "-")
	from, err := strconv.ParseInt(first, 10, 64)
	a := judge.ZoneOutage{Zone: name, FromMs: from}
	if back && err == nil {
		a.UntilMs, err = strconv.ParseInt(second, 10, 64)
	}
	if err != nil || name == "" || back && a.UntilMs < from {
		return judge.ZoneOutage{}, fmt.Errorf("--zone-out %q, expected name=unix ms or name=unix ms-unix ms", text)
	}
	return a, nil
}
