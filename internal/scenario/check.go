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

// judge ends all loads and fails on any broken promise.
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
	evidence.Events = append(evidence.Events, r.lostEnds(evidence.Events)...)
	evidence.ZoneOutages, evidence.KilledEntries, evidence.CompleteJournal = r.absences, r.killed, true
	problems := checkSince("after its key was withdrawn", r.withdrawn, evidence.Events, func(ev judge.Event) string { return ev.Team })
	problems = append(problems, checkSince("after it was listed as leaving", r.leaving, evidence.Events, func(ev judge.Event) string { return ev.Endpoint })...)
	reverted, err := r.checkChanges()
	if err != nil {
		return err
	}
	problems = append(problems, reverted...)
	if found := judge.Check(evidence); len(found) > 0 {
		problems = append(problems, judge.Table(found))
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d submissions, %d events:\n%s", len(submissions), len(evidence.Events), shorten(strings.Join(problems, "\n")))
	}
	return nil
}

// maxProblems bounds the text about violations.
const maxProblems = 6000

func shorten(text string) string {
	return text[:min(len(text), maxProblems)]
}

// lostEnds returns the ends of tasks whose endpoint was killed, which no
// journal has.
func (r *run) lostEnds(events []judge.Event) []judge.Event {
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
		for _, k := range r.racksKilled {
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

// checkSince finds starts later than the bound after a point in time.
func checkSince(what string, list []since, events []judge.Event, name func(judge.Event) string) []string {
	var problems []string
	for _, s := range list {
		for _, ev := range events {
			late := ev.AtMs - s.fromMs
			if ev.Kind == "start" && name(ev) == s.name && late > secondsBound.Milliseconds() {
				problems = append(problems, fmt.Sprintf("%s: request %s started at %s %d ms %s", s.name, ev.RequestID, ev.Endpoint, late, what))
			}
		}
	}
	return problems
}

// checkChanges finds accepted changes that an entry did not show in time or
// that a later version doesn't have, and entries whose version went back.
func (r *run) checkChanges() ([]string, error) {
	history, err := r.history()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var problems []string
	for _, a := range r.accepted {
		// After a lost answer the entry reports the version in which it found
		// the change, which may be later than the one that brought it.
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
			if o.version < a.version && o.asked.Sub(a.at) > configBound {
				problems = append(problems, fmt.Sprintf("%s shows version %d, %v after version %d was accepted", o.entry, o.version, o.asked.Sub(a.at), a.version))
			}
		}
		problems = append(problems, checkValues(o, history)...)
	}
	return problems, nil
}

// history returns the versions in order.
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
	return nil, errors.New("no entry runs")
}

// checkValues compares a configuration with the changes up to its version.
func checkValues(o observation, history []tmoperator.Revision) []string {
	limits, out, gone := map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, v := range history {
		if v.Version > o.version {
			break
		}
		for _, change := range v.Changes {
			switch c := change.(type) {
			case tmchange.SetLimit:
				limits[c.Team] = c.Limit
			case tmchange.ZoneOut:
				out[c.Name] = true
			case tmchange.ZoneIn:
				out[c.Name] = false
			case tmchange.WithdrawKey:
				gone[c.Label] = true
			}
		}
	}
	var problems []string
	for name, limit := range limits {
		if team, found := o.config.Teams().Get(name); !found || team.Limit() != limit {
			problems = append(problems, fmt.Sprintf("%s shows limit %d of %s in version %d, expected %d", o.entry, team.Limit(), name, o.version, limit))
		}
	}
	for name, want := range out {
		if zone, found := o.config.Zones().Get(name); !found || zone.OutOfService() != want {
			problems = append(problems, fmt.Sprintf("%s shows %s out %t in version %d, expected %t", o.entry, name, zone.OutOfService(), o.version, want))
		}
	}
	for _, key := range o.config.Keys().All() {
		if gone[key.Label()] {
			problems = append(problems, fmt.Sprintf("%s has the withdrawn key %s in version %d", o.entry, key.Label(), o.version))
		}
	}
	return problems
}

// expect checks the goodput of a phase or a count of submissions.
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
		return fmt.Errorf("%q is no expectation", args)
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
		return fmt.Errorf("unknown count %q", args[0])
	}
	n, codes := 0, map[string]int{}
	for _, s := range r.of(loads) {
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

// expectServed checks "served ENTRY PHASE == N": the answers of one entry.
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
	for _, s := range r.of(nil) {
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

// of returns the submissions of some loads, or all.
func (r *run) of(loads []string) []judge.Submission {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.submissions), func(s judge.Submission) bool {
		return len(loads) > 0 && !slices.Contains(loads, s.Stream)
	})
}

// expectGoodput checks "goodput PHASE >= N% of PHASE".
func (r *run) expectGoodput(args, loads []string) error {
	percent, err := strconv.ParseFloat(strings.TrimSuffix(args[3], "%"), 64)
	if err != nil || args[2] != ">=" || args[4] != "of" {
		return fmt.Errorf("%q, expected goodput PHASE >= N%% of PHASE", args)
	}
	now, err := r.goodput(args[1], loads)
	if err != nil {
		return err
	}
	before, err := r.goodput(args[5], loads)
	if err != nil {
		return err
	}
	// Answers beyond what was sent in the phase are of requests that waited
	// since the start of the fleet. No later phase can reach such a goodput.
	before = min(before, r.offered(args[5], loads))
	if before == 0 || now < before*percent/100 {
		return fmt.Errorf("goodput in %s is %.1f/s, expected at least %g%% of %.1f/s in %s", args[1], now, percent, before, args[5])
	}
	return nil
}

// goodput returns the right answers per second of a phase.
func (r *run) goodput(name string, loads []string) (float64, error) {
	p, found := r.phases[name]
	if !found {
		return 0, fmt.Errorf("no phase %q", name)
	}
	n := 0
	for _, s := range r.of(loads) {
		if ended := time.UnixMicro(s.EndedUs); s.Code == judge.CodeOK && !ended.Before(p.from) && ended.Before(p.to) {
			n++
		}
	}
	return float64(n) / p.to.Sub(p.from).Seconds(), nil
}

// offered returns the requests per second that were due in a phase, without
// repetitions.
func (r *run) offered(name string, loads []string) float64 {
	p := r.phases[name]
	n := 0
	for _, s := range r.of(loads) {
		if due := time.UnixMicro(s.IntendedUs); s.Repetition == 0 && !due.Before(p.from) && due.Before(p.to) {
			n++
		}
	}
	return float64(n) / p.to.Sub(p.from).Seconds()
}
