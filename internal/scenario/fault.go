package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/internal/standin/tmfakeplatform"
)

// killedRack is a rack whose process was killed, and when.
type killedRack struct {
	rack string
	atMs int64
}

// eachEntry calls do for each named entry and stops at the first error.
func (r *run) eachEntry(names []string, do func(e *harness.Entry, number int) error) error {
	if len(names) == 0 {
		return errors.New("expected at least one entry")
	}
	for _, name := range names {
		e, number, err := r.entry(name)
		if err != nil {
			return err
		}
		if err := do(e, number); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) kill(names []string) error {
	return r.eachEntry(names, func(e *harness.Entry, _ int) error {
		r.mu.Lock()
		r.killedEntries = append(r.killedEntries, e.URL)
		r.mu.Unlock()
		e.Process().Kill()
		return nil
	})
}

func (r *run) restart(names []string) error {
	return r.eachEntry(names, func(_ *harness.Entry, number int) error {
		return r.fleet.RestartEntry(number)
	})
}

// replace kills entries and starts spare entries with new names in their place.
func (r *run) replace(names []string) error {
	return r.eachEntry(names, func(e *harness.Entry, _ int) error {
		if len(r.spares) == 0 {
			return errors.New("no spare entry left, expected a larger spares=N of the fleet")
		}
		if err := r.kill([]string{e.Name}); err != nil {
			return err
		}
		spare := r.spares[0]
		r.spares = r.spares[1:]
		return r.fleet.RestartEntry(spare)
	})
}

// pause suspends the process of an entry for a duration while the script continues.
func (r *run) pause(args []string) error {
	if len(args) != 2 {
		return errors.New("expected an entry and a duration")
	}
	e, _, err := r.entry(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	if err := e.Process().Pause(); err != nil {
		return err
	}
	r.background.Go(func() {
		select {
		case <-r.ctx.Done():
		case <-time.After(d):
		}
		_ = e.Process().Resume()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.resumed[e.Name] = true
	})
	return nil
}

// rollingRestart restarts the running entries one after another. Each must be
// healthy before the next one is stopped.
func (r *run) rollingRestart([]string) error {
	for i, e := range r.fleet.Entries() {
		if !running(e) {
			continue
		}
		if err := e.Process().Stop(); err != nil {
			return err
		}
		if err := r.fleet.RestartEntry(i + 1); err != nil {
			return err
		}
		if err := r.waitUntil(configBound, e.Name+" is healthy", func() error { return r.checkHealthIs(e, true) }); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) platform(args []string) error {
	verb, value := argAt(args, 0), argAt(args, 1)
	c := r.platformFaults
	var err error
	switch verb {
	case "down":
		c.Down = true
	case "slow":
		c.SlowMs, err = parseMillis(value)
	case "list-lag":
		c.ListLagMs, err = parseMillis(value)
	case "lose-answers":
		c.LoseAnswers, err = strconv.Atoi(value)
	case "only":
		c.Only = strings.Split(value, ",")
	case "ok":
		c = tmfakeplatform.Control{}
	default:
		err = fmt.Errorf("unknown fault %q", verb)
	}
	if err != nil {
		return err
	}
	r.platformFaults = c
	// LoseAnswers counts future writes, so the next call must not set it again.
	r.platformFaults.LoseAnswers = 0
	return r.fleet.SetPlatformFaults(r.ctx, c)
}

func parseMillis(text string) (int64, error) {
	d, err := time.ParseDuration(text)
	return d.Milliseconds(), err
}

// argAt returns argument i, or "" if there are fewer.
func argAt(args []string, i int) string {
	if i < len(args) {
		return args[i]
	}
	return ""
}

func (r *run) endpoint(args []string) error {
	e, err := r.endpointAt(argAt(args, 0))
	if err != nil {
		return err
	}
	var f tmfakeendpoint.Faults
	switch argAt(args, 1) {
	case "lose-answers":
		f.LoseAfterRun = true
	case "fail-all":
		f.FailAll = true
	case "hang":
		f.Hang = true
	case "cut":
		f.Cut = true
	case "cross":
		f.Cross = true
	case "ok":
	default:
		return fmt.Errorf("unknown fault %q", argAt(args, 1))
	}
	return r.fleet.SetEndpointFaults(r.ctx, e, f)
}

// list sets the state of an endpoint in the platform's list of instances. If the
// list lags, the bound on late starts counts from the time the list shows the state.
func (r *run) list(args []string) error {
	e, err := r.endpointAt(argAt(args, 0))
	if err != nil {
		return err
	}
	if err := r.fleet.SetInstanceState(r.ctx, e, argAt(args, 1)); err != nil {
		return err
	}
	if argAt(args, 1) != "live" {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.leaving = append(r.leaving, startCutoff{e.Name, time.Now().UnixMilli() + r.platformFaults.ListLagMs})
	}
	return nil
}

func (r *run) zone(args []string) error {
	if len(args) < 2 {
		return errors.New("expected out, in, lost or back, and a zone")
	}
	switch args[0] {
	case "lost":
		return r.killZone("zone-" + args[1])
	case "back":
		return r.restartZone("zone-" + args[1])
	default:
		return r.change(append([]string{"zone"}, args...))
	}
}

// killZone kills all entries and endpoints of a zone.
func (r *run) killZone(zone string) error {
	// Endpoints lose their journals when they exit, so the journals are fetched first.
	if _, err := r.fleet.Journal(r.ctx); err != nil {
		return err
	}
	for _, e := range r.fleet.Endpoints() {
		if e.Zone != zone || !e.Process().Running() {
			continue
		}
		e.Process().Kill()
		r.killedRacks = append(r.killedRacks, killedRack{e.Rack, time.Now().UnixMilli()})
	}
	for _, e := range r.fleet.Entries() {
		if e.Zone == zone && running(e) {
			if err := r.kill([]string{e.Name}); err != nil {
				return err
			}
		}
	}
	return nil
}

// restartZone restarts the killed entries and endpoints of a zone.
func (r *run) restartZone(zone string) error {
	for _, e := range r.fleet.Endpoints() {
		if e.Zone == zone && !e.Process().Running() {
			if err := r.fleet.RestartRack(e); err != nil {
				return err
			}
		}
	}
	for i, e := range r.fleet.Entries() {
		if e.Zone == zone && e.Process() != nil && !e.Process().Running() {
			if err := r.fleet.RestartEntry(i + 1); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitUntil polls check until it returns nil or the bound has passed.
func (r *run) waitUntil(bound time.Duration, condition string, check func() error) error {
	ctx, cancel := context.WithTimeout(r.ctx, bound)
	defer cancel()
	return r.fleet.Wait(ctx, condition, check)
}
