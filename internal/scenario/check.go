package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericmoor/core/tmchange"
	"turmericmoor/internal/judge"
	"turmericmoor/io/tmoperator"
)

// judge stops all loads and fails if any guarantee is violated.
func (r *run) judge([]string) error {
	if err := r.unload(nil); err != nil {
		return err
	}
	r.mu.Lock()
	submissions := slices.Clone(r.submissions)
	r.mu.Unlock()
	evidence, err := r.fleet.Evidence(r.ctx, submissions)
	if err != nil {
		return err
	}
	evidence.Events = append(evidence.Events, r.stopsOfKilledRacks(evidence.Events)...)
	if evidence.ZoneOutages, err = r.zoneOutages(); err != nil {
		return err
	}
	evidence.KilledEntries, evidence.CompleteJournal = r.killedEntries, true
	problems := checkLateStarts("after its key was withdrawn", r.withdrawn, evidence.Events, func(ev judge.Event) string { return ev.Team })
	problems = append(problems, checkLateStarts("after it was listed as leaving", r.leaving, evidence.Events, func(ev judge.Event) string { return ev.Endpoint })...)
	reverted, err := r.checkChanges()
	if err != nil {
		return err
	}
	problems = append(problems, reverted...)
	if found := judge.Check(evidence); len(found) > 0 {
		problems = append(problems, judge.Table(found))
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d submissions, %d events:\n%s", len(submissions), len(evidence.Events), truncate(strings.Join(problems, "\n")))
	}
	return nil
}

// maxReportBytes bounds the text that describes violations.
const maxReportBytes = 6000

func truncate(text string) string {
	return text[:min(len(text), maxReportBytes)]
}

// stopsOfKilledRacks returns stop events for tasks whose endpoint was killed,
// because no journal records their end.
func (r *run) stopsOfKilledRacks(events []judge.Event) []judge.Event {
	rackOf := map[string]string{}
	for _, e := range r.fleet.Endpoints() {
		rackOf[e.Name] = e.Rack
	}
	ended := map[string]bool{}
	for _, ev := range events {
		if ev.Kind == "end" || ev.Kind == "stop" {
			ended[ev.Attempt] = true
		}
	}
	var list []judge.Event
	for _, ev := range events {
		for _, k := range r.killedRacks {
			if ev.Kind == "start" && !ended[ev.Attempt] && rackOf[ev.Endpoint] == k.rack && ev.AtMs <= k.atMs {
				ended[ev.Attempt] = true
				end := ev
				end.Kind, end.AtMs = "stop", k.atMs
				list = append(list, end)
			}
		}
	}
	return list
}

// checkLateStarts reports tasks that started more than lateStartBound after the
// cutoff of their team or endpoint.
func checkLateStarts(what string, list []startCutoff, events []judge.Event, name func(judge.Event) string) []string {
	var problems []string
	for _, s := range list {
		for _, ev := range events {
			late := ev.AtMs - s.fromMs
			if ev.Kind == "start" && name(ev) == s.name && late > lateStartBound.Milliseconds() {
				problems = append(problems, fmt.Sprintf("%s: request %s started at %s %d ms %s", s.name, ev.RequestID, ev.Endpoint, late, what))
			}
		}
	}
	return problems
}

// checkChanges reports accepted changes that an entry did not return in time or
// that a later version lacks, and entries whose version decreased.
func (r *run) checkChanges() ([]string, error) {
	history, err := r.history()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var problems []string
	for _, a := range r.accepted {
		// After a lost response the entry reports the version in which it found
		// the change, which may be later than the version that introduced it.
		if !slices.ContainsFunc(history, func(v tmoperator.Revision) bool { return v.ChangeID == a.id && v.Version <= a.version }) {
			problems = append(problems, fmt.Sprintf("accepted change %s is in no version up to %d", a.id, a.version))
		}
	}
	versions := map[string]uint64{}
	for _, o := range r.observations {
		key := o.entry + "/" + o.incarnation
		if o.version < versions[key] {
			problems = append(problems, fmt.Sprintf("%s went from version %d to %d", o.entry, versions[key], o.version))
		}
		versions[key] = max(versions[key], o.version)
		for _, a := range r.accepted {
			if o.version < a.version && o.requestedAt.Sub(a.at) > configBound {
				problems = append(problems, fmt.Sprintf("%s shows version %d, %v after version %d was accepted", o.entry, o.version, o.requestedAt.Sub(a.at), a.version))
			}
		}
		problems = append(problems, checkConfig(o, history)...)
	}
	return problems, nil
}

// history returns all configuration versions in ascending order.
func (r *run) history() ([]tmoperator.Revision, error) {
	for i, e := range r.fleet.Entries() {
		if !running(e) {
			continue
		}
		client, err := r.fleet.Operator(i + 1)
		if err != nil {
			return nil, err
		}
		list, err := client.History(r.ctx)
		slices.Reverse(list)
		return list, err
	}
	return nil, errors.New("no entry is running")
}

// checkConfig compares an observed configuration with the changes up to its
// version.
func checkConfig(o observation, history []tmoperator.Revision) []string {
	limits, outOfService, withdrawn := map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, v := range history {
		if v.Version > o.version {
			break
		}
		for _, change := range v.Changes {
			switch c := change.(type) {
			case tmchange.SetLimit:
				limits[c.Team] = c.Limit
			case tmchange.ZoneOut:
				outOfService[c.Name] = true
			case tmchange.ZoneIn:
				outOfService[c.Name] = false
			case tmchange.WithdrawKey:
				withdrawn[c.Label] = true
			}
		}
	}
	var problems []string
	for name, limit := range limits {
		if team, found := o.config.Teams().Get(name); !found || team.Limit() != limit {
			problems = append(problems, fmt.Sprintf("%s shows limit %d of %s in version %d, expected %d", o.entry, team.Limit(), name, o.version, limit))
		}
	}
	for name, want := range outOfService {
		if zone, found := o.config.Zones().Get(name); !found || zone.OutOfService() != want {
			problems = append(problems, fmt.Sprintf("%s shows %s out %t in version %d, expected %t", o.entry, name, zone.OutOfService(), o.version, want))
		}
	}
	for _, key := range o.config.Keys().All() {
		if withdrawn[key.Label()] {
			problems = append(problems, fmt.Sprintf("%s has the withdrawn key %s in version %d", o.entry, key.Label(), o.version))
		}
	}
	return problems
}

// expect checks the goodput of a phase, the requests that one entry served in a
// phase, or a count of submissions.
func (r *run) expect(args []string) error {
	var loads []string
	if n := len(args); n > 2 && args[n-2] == "on" {
		loads, args = strings.Split(args[n-1], ","), args[:n-2]
	}
	if len(args) == 6 && args[0] == "goodput" {
		return r.expectGoodput(args, loads)
	}
	if len(args) == 5 && args[0] == "served" {
		return r.expectServed(args)
	}
	if len(args) != 3 {
		return fmt.Errorf("unknown expectation %q", args)
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	match, found := map[string]func(judge.Submission) bool{
		"answers":  func(s judge.Submission) bool { return s.Code == judge.CodeOK },
		"failed":   func(s judge.Submission) bool { return s.Code != judge.CodeOK },
		"refused":  func(s judge.Submission) bool { return s.Outcome == judge.NotRun },
		"repeated": func(s judge.Submission) bool { return s.Repetition > 0 },
		"cut":      func(s judge.Submission) bool { return s.Cut },
		"given-up": func(s judge.Submission) bool { return s.Code == judge.CodeGivenUp },
	}[args[0]]
	if !found {
		return fmt.Errorf("unknown submission count %q", args[0])
	}
	n, codes := 0, map[string]int{}
	for _, s := range r.submissionsOf(loads) {
		codes[s.Code]++
		if match(s) {
			n++
		}
	}
	if ok := args[1] == ">=" && n >= want || args[1] == "==" && n == want; !ok {
		return fmt.Errorf("%d submissions are %s, expected %s %d; by code: %v", n, args[0], args[1], want, codes)
	}
	return nil
}

// expectServed checks "served ENTRY PHASE == N": the number of requests that one
// entry answered successfully in a phase.
func (r *run) expectServed(args []string) error {
	e, _, err := r.entry(args[1])
	if err != nil {
		return err
	}
	p, found := r.phases[args[2]]
	want, err := strconv.Atoi(args[4])
	if !found || args[3] != "==" || err != nil {
		return fmt.Errorf("%q, expected served ENTRY PHASE == N", args)
	}
	n := 0
	for _, s := range r.submissionsOf(nil) {
		ended := time.UnixMicro(s.EndedUs)
		if s.Entry == e.URL && s.Code == judge.CodeOK && !ended.Before(p.from) && ended.Before(p.to) {
			n++
		}
	}
	if n != want {
		return fmt.Errorf("%s answered %d requests in %s, expected %d", e.Name, n, args[2], want)
	}
	return nil
}

// submissionsOf returns the submissions of the given loads, or all submissions if
// loads is empty.
func (r *run) submissionsOf(loads []string) []judge.Submission {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.submissions), func(s judge.Submission) bool {
		return len(loads) > 0 && !slices.Contains(loads, s.Stream)
	})
}

// expectGoodput checks "goodput PHASE >= N% of PHASE", a comparison with the goodput
// of an earlier phase.
func (r *run) expectGoodput(args, loads []string) error {
	percent, err := strconv.ParseFloat(strings.TrimSuffix(args[3], "%"), 64)
	if err != nil || args[2] != ">=" || args[4] != "of" {
		return fmt.Errorf("%q, expected goodput PHASE >= N%% of PHASE", args)
	}
	measured, err := r.goodput(args[1], loads)
	if err != nil {
		return err
	}
	baseline, err := r.goodput(args[5], loads)
	if err != nil {
		return err
	}
	// Goodput above the offered rate comes from requests queued since the start of
	// the fleet. No later phase can reach it, so the baseline is capped.
	baseline = min(baseline, r.offeredRate(args[5], loads))
	if baseline == 0 || measured < baseline*percent/100 {
		return fmt.Errorf("goodput in %s is %.1f/s, expected at least %g%% of %.1f/s in %s", args[1], measured, percent, baseline, args[5])
	}
	return nil
}

// goodput returns the successful answers per second in a phase.
func (r *run) goodput(name string, loads []string) (float64, error) {
	p, found := r.phases[name]
	if !found {
		return 0, fmt.Errorf("no phase %q", name)
	}
	n := 0
	for _, s := range r.submissionsOf(loads) {
		if ended := time.UnixMicro(s.EndedUs); s.Code == judge.CodeOK && !ended.Before(p.from) && ended.Before(p.to) {
			n++
		}
	}
	return float64(n) / p.to.Sub(p.from).Seconds(), nil
}

// offeredRate returns the requests per second that were due in a phase, excluding
// retries.
func (r *run) offeredRate(name string, loads []string) float64 {
	p := r.phases[name]
	n := 0
	for _, s := range r.submissionsOf(loads) {
		if due := time.UnixMicro(s.IntendedUs); s.Repetition == 0 && !due.Before(p.from) && due.Before(p.to) {
			n++
		}
	}
	return float64(n) / p.to.Sub(p.from).Seconds()
}
