package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/judge"
	"turmericmoor/internal/load"
	"turmericmoor/internal/standin/tmfakeplatform"
)

const (
	failureRun = 100 * time.Millisecond
	// outageBefore seconds are measured before the platform is down for
	// outageTime seconds. The first outageWarm seconds don't count.
	outageWarm   = 5
	outageBefore = 20
	outageTime   = 60
	outageAfter  = 10

	killBefore = 20
	killAfter  = 30
	// killSettle seconds after the kill the throughput has to be back.
	killSettle = 10
)

func outageMeasurement() measurement {
	return measurement{name: "outage", short: "throughput while the platform is down for 60 s and no entry is lost", run: runOutage}
}

func runOutage(ctx context.Context, out io.Writer) error {
	f, err := harness.Start(ctx, harness.Layout{Entries: 9, Endpoints: 12})
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	layout := f.Layout()
	rate := 0.7 * float64(layout.Capacity()) / failureRun.Seconds()
	plan := load.Plan{Entries: f.URLs(), Duration: (outageBefore + outageTime + outageAfter) * time.Second, Seed: 1}
	for _, s := range []load.Stream{
		{Name: "idempotent", Idempotent: true, Rate: rate * 0.45},
		{Name: "unrecorded", Rate: rate * 0.45},
		{Name: "recorded", CallerChoosesIDs: true, Rate: rate * 0.1},
	} {
		s.Team, s.Key, s.Queue = "crews", f.Key("crews"), "steps"
		s.RunTime, s.Timeout = load.Fixed(failureRun), 10*time.Second
		plan.Streams = append(plan.Streams, s)
	}
	holdings := ""
	fault := startFault(ctx, func(ctx context.Context) error {
		wait(ctx, outageBefore*time.Second)
		var err error
		if err := f.SetPlatformFaults(ctx, tmfakeplatform.Control{Down: true}); err != nil {
			return err
		}
		wait(ctx, outageTime/2*time.Second)
		if holdings, err = holdingsOf(ctx, f); err != nil {
			return err
		}
		wait(ctx, outageTime/2*time.Second)
		return f.SetPlatformFaults(ctx, tmfakeplatform.Control{})
	})
	report, found, err := runAndJudge(ctx, f, plan, nil)
	if err := errorOf(err, <-fault); err != nil {
		return err
	}
	t := newTable("stream", "before/s", "down/s", "after/s", "down / before", "target 95%", "codes")
	for _, s := range report.Streams {
		before := s.Goodput(outageWarm, outageBefore)
		down := s.Goodput(outageBefore+1, outageBefore+outageTime)
		after := s.Goodput(outageBefore+outageTime+3, outageBefore+outageTime+outageAfter)
		verdict := met(down >= 0.95*before)
		if s.Name == "recorded" {
			verdict = "refused by design"
		}
		t.add(s.Name, before, down, after, down/before, verdict, fmt.Sprint(s.Codes))
	}
	title := fmt.Sprintf("9 entries, 12 endpoints of 8 slots, tasks of %v, %.0f requests/s\n%s\nin the middle of the outage: %s", failureRun, rate, found, holdings)
	return t.write(out, title)
}

// holdingsOf says how units and slots are divided among the entries.
func holdingsOf(ctx context.Context, f *harness.Fleet) (string, error) {
	var text []string
	for i, e := range f.Entries() {
		d, err := f.Dump(ctx, i+1)
		if err != nil {
			return "", err
		}
		held, inUse, leased, running := 0, 0, 0, 0
		for _, s := range d.Slices {
			held += s.Held
			inUse += s.InUse
		}
		for _, l := range d.Leases {
			leased += l.Slots
			running += l.Running
		}
		text = append(text, fmt.Sprintf("%s units %d/%d slots %d/%d open %d", e.Name, inUse, held, running, leased, d.OpenRequests))
	}
	return strings.Join(text, ", "), nil
}

func killMeasurement() measurement {
	return measurement{name: "kill", short: "throughput after one of nine entries is killed", run: runKill}
}

func runKill(ctx context.Context, out io.Writer) error {
	t := newTable("load", "before/s", "first 10 s/s", "10 to 28 s/s", "after / before", "target 85%", "retries", "codes")
	var notes string
	for _, factor := range []float64{0.7, 1.2} {
		f, err := harness.Start(ctx, harness.Layout{Entries: 9, Endpoints: 12})
		if err != nil {
			return err
		}
		report, found, err := killOne(ctx, f, factor)
		_ = f.Close()
		if err != nil {
			return err
		}
		s := report.Total
		before := s.Goodput(outageWarm, killBefore)
		soon := s.Goodput(killBefore, killBefore+killSettle)
		after := s.Goodput(killBefore+killSettle, killBefore+killAfter-2)
		t.add(fmt.Sprintf("%.1fx", factor), before, soon, after, after/before, met(after >= 0.85*before), s.Retries, fmt.Sprint(s.Codes))
		notes += "\n" + found
	}
	return t.write(out, fmt.Sprintf("9 entries, 12 endpoints of 8 slots, tasks of %v, callers retry through another entry%s", failureRun, notes))
}

func killOne(ctx context.Context, f *harness.Fleet, factor float64) (*load.Report, string, error) {
	layout := f.Layout()
	victim := f.Entries()[4]
	plan := load.Plan{
		Entries:  f.URLs(),
		Duration: (killBefore + killAfter) * time.Second,
		Seed:     1,
		Streams: []load.Stream{{
			Name: "all", Team: "crews", Key: f.Key("crews"), Queue: "steps", Idempotent: true, Retries: 5,
			Rate:    factor * float64(layout.Capacity()) / failureRun.Seconds(),
			RunTime: load.Fixed(failureRun), Timeout: 5 * time.Second,
		}},
	}
	fault := startFault(ctx, func(ctx context.Context) error {
		wait(ctx, killBefore*time.Second)
		victim.Process().Kill()
		return nil
	})
	report, found, err := runAndJudge(ctx, f, plan, []string{victim.URL})
	return report, found, errorOf(err, <-fault)
}

// startFault runs a fault beside a load and returns its error.
func startFault(ctx context.Context, fault func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- fault(ctx) }()
	return done
}

func errorOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// runAndJudge runs a load and says how many violations the judge found.
func runAndJudge(ctx context.Context, f *harness.Fleet, plan load.Plan, killed []string) (*load.Report, string, error) {
	var all []judge.Submission
	report, err := load.Run(ctx, plan, func(s judge.Submission) { all = append(all, s) })
	if err != nil {
		return nil, "", err
	}
	evidence, err := f.Evidence(ctx, all)
	if err != nil {
		return nil, "", err
	}
	evidence.KilledEntries, evidence.CompleteJournal = killed, true
	found := judge.Check(evidence)
	text := fmt.Sprintf("judge: %d submissions, %d events, %d violations", len(all), len(evidence.Events), len(found))
	for i, v := range found {
		if i == 10 {
			text += "\n  and more"
			break
		}
		text += fmt.Sprintf("\n  %s %s: %s", v.Rule, v.RequestID, v.Detail)
	}
	return report, text, nil
}
