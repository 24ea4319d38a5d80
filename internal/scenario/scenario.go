// Package scenario runs scripted fault-injection tests against a fleet of real
// processes. A script is a testscript file with commands for load, faults,
// configuration changes, events to wait for and checks of externally visible
// behavior. It is not part of the product.
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

// Time bounds that the design guarantees.
const (
	// lateStartBound is how long after a key is withdrawn or an endpoint is
	// listed as leaving a task may still start: "within seconds" in the design.
	lateStartBound = 5 * time.Second
	// configBound is the time within which a change is in force.
	configBound = 8 * time.Second
)

// startTimeout bounds the start of a fleet.
const startTimeout = 90 * time.Second

// run is the state of one script run. mu guards the fields below it.
type run struct {
	ctx            context.Context
	cancel         context.CancelFunc
	fleet          *harness.Fleet
	platformFaults tmfakeplatform.Control
	// spares has the numbers of the unstarted entries that replace killed ones.
	spares     []int
	loads      []*activeLoad
	phases     map[string]phase
	background sync.WaitGroup

	mu            sync.Mutex
	healthy       map[string]bool
	submissions   []judge.Submission
	accepted      []acceptedChange
	observations  []observation
	killedEntries []string
	killedRacks   []killedRack
	absences      []absence
	withdrawn     []startCutoff
	leaving       []startCutoff
	resumed       map[string]bool
}

// startCutoff names a team or endpoint for which no task may start later than
// lateStartBound after fromMs.
type startCutoff struct {
	name   string
	fromMs int64
}

// phase is the time range of a named part of a script.
type phase struct{ from, to time.Time }

type runKey struct{}

// command implements a verb of the scripts.
type command func(r *run, args []string) error

// verbs returns the verbs of the scripts with their usage texts. crash and await
// have these names because the testscript commands kill and wait can't be
// overridden.
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
		"withdraw":        {"TEAM [via entry-N]", changeCommand("withdraw")},
		"limit":           {"TEAM N [via entry-N]", changeCommand("limit")},
		"share":           {"TEAM N [via entry-N]", changeCommand("share")},
		"race":            {"'CHANGE' 'CHANGE'...", (*run).race},
		"await":           {"fleet|idle|work TEAM|refused TEAM CODE|ENTRY healthy|unhealthy|resumed|holds N|knows-changes, with a DURATION", (*run).wait},
		"judge":           {"", (*run).judge},
		"expect":          {"goodput PHASE >= N% of PHASE [on LOAD,...] | served ENTRY PHASE == N | repeated|cut|given-up|failed|refused|answers OP N [on LOAD,...]", (*run).expect},
	}
}

// Run runs scripts as subtests. The -test.run flag selects them by file name.
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
				ts.Fatalf("%s: %v\nusage: %s %s%s", name, err, name, verb.usage, r.failureDetails())
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

// failureDetails returns the diagnostics to append to a failure message.
func (r *run) failureDetails() string {
	if r.fleet == nil {
		return ""
	}
	return "\n" + r.diagnostics()
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

// startFleet starts the fleet, the callers' health checks and the observation of
// the entries' configurations.
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
				return fmt.Errorf("invalid team %q, expected NAME:LIMIT", text)
			}
		}
		layout.Teams = append(layout.Teams, team)
	}
	spares := o.number("spares", 0)
	if o.err != nil {
		return o.err
	}
	ctx, cancel := context.WithTimeout(r.ctx, startTimeout)
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
	r.startObservers()
	return nil
}
