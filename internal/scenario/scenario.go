// Package scenario runs scripted failures against a fleet of real processes.
// A script is a testscript file whose commands read like an operator's account
// of an incident: load, faults, changes of the configuration, events to wait
// for, and checks of what could be seen from outside. It is no part of the
// product.
package scenario

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/judge"
	"turmericmoor/internal/standin/tmfakeplatform"
)

// Bounds of the design.
const (
	// secondsBound is the bound for "within seconds".
	secondsBound = 5 * time.Second
	// configBound is how long an accepted change takes to be in force.
	configBound = 8 * time.Second
)

// startBound bounds the start of a fleet.
const startBound = 90 * time.Second

// run is one run of a script. The fields below mu are guarded by it.
type run struct {
	ctx     context.Context
	cancel  context.CancelFunc
	fleet   *harness.Fleet
	control tmfakeplatform.Control
	// spares are the numbers of entries that replace others.
	spares     []int
	loads      []*traffic
	phases     map[string]phase
	background sync.WaitGroup

	mu           sync.Mutex
	healthy      map[string]bool
	submissions  []judge.Submission
	accepted     []accepted
	observations []observation
	killed       []string
	racksKilled  []rackKilled
	absences     []judge.ZoneOutage
	withdrawn    []since
	leaving      []since
	resumed      map[string]bool
}

// since is a name for which no work may start some time after a point in time.
type since struct {
	name   string
	fromMs int64
}

// phase is a named part of a run.
type phase struct{ from, to time.Time }

type runKey struct{}

// command is a verb of the scripts.
type command func(r *run, args []string) error

// verbs returns the verbs and what they take. The verbs crash and await have
// these names because testscript has commands kill and wait, which can't be
// replaced.
func verbs() map[string]struct {
	usage string
	do    command
} {
	return map[string]struct {
		usage string
		do    command
	}{
		"fleet":           {"entries=N endpoints=N zones=N spares=N teams=NAME:LIMIT,...", (*run).startFleet},
		"load":            {"TEAM[/LABEL] rate=N run=fixed:50ms idempotent=BOOL ids=own|entry retries=N give-up=DURATION callers=healthy|any arrivals=constant|random", (*run).load},
		"unload":          {"[TEAM/LABEL...]", (*run).unload},
		"phase":           {"NAME DURATION", (*run).phase},
		"crash":           {"entry-N...", (*run).kill},
		"pause":           {"entry-N DURATION", (*run).pause},
		"restart":         {"entry-N...", (*run).restart},
		"replace":         {"entry-N...", (*run).replace},
		"rolling-restart": {"", (*run).rollingRestart},
		"platform":        {"down | slow DURATION | lose-answers N | only entry-N,... | list-lag DURATION | ok", (*run).platform},
		"endpoint":        {"ep-N lose-answers|fail-all|hang|cut|cross|ok", (*run).endpoint},
		"list":            {"ep-N live|leaving|gone", (*run).list},
		"zone":            {"out|in|lost|back NAME", (*run).zone},
		"withdraw":        {"TEAM [via entry-N]", changeVerb("withdraw")},
		"limit":           {"TEAM N [via entry-N]", changeVerb("limit")},
		"share":           {"TEAM N [via entry-N]", changeVerb("share")},
		"race":            {"'CHANGE' 'CHANGE'...", (*run).race},
		"await":           {"fleet|idle|work TEAM|refused TEAM CODE|ENTRY healthy|unhealthy|resumed|holds N|knows-changes, with a DURATION", (*run).wait},
		"judge":           {"", (*run).judge},
		"expect":          {"goodput PHASE >= N% of PHASE [on LOAD,...] | served ENTRY PHASE == N | repeated|cut|given-up|failed|refused|answers OP N [on LOAD,...]", (*run).expect},
	}
}

// Run runs scripts as subtests, which the -test.run flag selects by file name.
func Run(t *testing.T, files ...string) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, verb := range verbs() {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			r := ts.Value(runKey{}).(*run)
			if name != "fleet" && r.fleet == nil {
				ts.Fatalf("%s needs a fleet, expected the fleet command first", name)
			}
			if err := verb.do(r, args); err != nil {
				ts.Fatalf("%s: %v\nusage: %s %s%s", name, err, name, verb.usage, r.logs())
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Files: files,
		Cmds:  cmds,
		Setup: func(env *testscript.Env) error {
			r := newRun()
			env.Values[runKey{}] = r
			env.Defer(func() { r.close() })
			return nil
		},
	})
}

func newRun() *run {
	ctx, cancel := context.WithCancel(context.Background())
	return &run{ctx: ctx, cancel: cancel, phases: map[string]phase{}, healthy: map[string]bool{}, resumed: map[string]bool{}}
}

// logs returns where the logs are.
func (r *run) logs() string {
	if r.fleet == nil {
		return ""
	}
	return "\n" + r.logTail()
}

func (r *run) close() {
	r.cancel()
	for _, l := range r.loads {
		l.stop()
	}
	r.background.Wait()
	if r.fleet != nil {
		_ = r.fleet.Close()
	}
}

// startFleet starts the fleet, the health checks of the callers and the
// observation of the entries' configurations.
func (r *run) startFleet(args []string) error {
	o, err := parseOptions(args, "entries", "endpoints", "zones", "spares", "teams", "slots")
	if err != nil {
		return err
	}
	layout := harness.Layout{Entries: o.number("entries", 3), Endpoints: o.number("endpoints", 6), Slots: o.number("slots", 8)}
	for i := range o.number("zones", 3) {
		layout.Zones = append(layout.Zones, "zone-"+string(rune('a'+i)))
	}
	for _, text := range strings.Split(o.text("teams", "crews"), ",") {
		name, limit, _ := strings.Cut(text, ":")
		team := harness.Team{Name: name}
		if limit != "" {
			if team.Limit, err = strconv.Atoi(limit); err != nil {
				return fmt.Errorf("team %q, expected NAME:LIMIT", text)
			}
		}
		layout.Teams = append(layout.Teams, team)
	}
	spares := o.number("spares", 0)
	if o.err != nil {
		return o.err
	}
	ctx, cancel := context.WithTimeout(r.ctx, startBound)
	defer cancel()
	if r.fleet, err = harness.Start(ctx, layout); err != nil {
		return err
	}
	for range spares {
		if _, err := r.fleet.AddEntry(); err != nil {
			return err
		}
		r.spares = append(r.spares, len(r.fleet.Entries()))
	}
	r.observe()
	return nil
}
