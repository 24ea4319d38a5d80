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

// rackKilled is the end of the process of some endpoints.
type rackKilled struct {
	rack string
	atMs int64
}

func (r *run) eachEntry(names []string, do func(e *harness.Entry, number int) error) error {
	if len(names) == 0 {
		return errors.New("no entry")
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
		r.killed = append(r.killed, e.URL)
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

// replace kills entries and starts others with new names.
func (r *run) replace(names []string) error {
	return r.eachEntry(names, func(e *harness.Entry, _ int) error {
		if len(r.spares) == 0 {
			return errors.New("no entry left, expected more spares=N of the fleet")
		}
		if err := r.kill([]string{e.Name}); err != nil {
			return err
		}
		spare := r.spares[0]
		r.spares = r.spares[1:]
		return r.fleet.RestartEntry(spare)
	})
}

// pause stops a process for some time while the script goes on.
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

// rollingRestart stops and starts one running entry after the other. Each has
// to be ready before the next one is stopped.
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
		if err := r.waitUntil(configBound, e.Name+" is healthy", func() error { return r.health(e, true) }); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) platform(args []string) error {
	verb, value := word(args, 0), word(args, 1)
	c := r.control
	var err error
	switch verb {
	case "down":
		c.Down = true
	case "slow":
		c.SlowMs, err = millis(value)
	case "list-lag":
		c.ListLagMs, err = millis(value)
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
	r.control = c
	// Lost answers are a count of writes to come, which the next call must not
	// set again.
	r.control.LoseAnswers = 0
	return r.fleet.SetPlatform(r.ctx, c)
}

func millis(text string) (int64, error) {
	d, err := time.ParseDuration(text)
	return d.Milliseconds(), err
}

func word(args []string, i int) string {
	if i < len(args) {
		return args[i]
	}
	return ""
}

func (r *run) endpoint(args []string) error {
	e, err := r.endpointAt(word(args, 0))
	if err != nil {
		return err
	}
	var f tmfakeendpoint.Faults
	switch word(args, 1) {
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
		return fmt.Errorf("unknown fault %q", word(args, 1))
	}
	return r.fleet.SetEndpoint(r.ctx, e, f)
}

// list sets the state of an endpoint in the platform's list of instances. With
// a lag the list shows it later, and the bound counts from then.
func (r *run) list(args []string) error {
	e, err := r.endpointAt(word(args, 0))
	if err != nil {
		return err
	}
	if err := r.fleet.SetInstance(r.ctx, e, word(args, 1)); err != nil {
		return err
	}
	if word(args, 1) != "live" {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.leaving = append(r.leaving, since{e.Name, time.Now().UnixMilli() + r.control.ListLagMs})
	}
	return nil
}

func (r *run) zone(args []string) error {
	if len(args) < 2 {
		return errors.New("expected out, in, lost or back, and a zone")
	}
	switch args[0] {
	case "lost":
		return r.zoneLost("zone-" + args[1])
	case "back":
		return r.zoneBack("zone-" + args[1])
	default:
		return r.change(append([]string{"zone"}, args...))
	}
}

// zoneLost kills all entries and endpoints of a zone.
func (r *run) zoneLost(zone string) error {
	// Endpoints forget their journals when they end.
	if _, err := r.fleet.Journal(r.ctx); err != nil {
		return err
	}
	for _, e := range r.fleet.Endpoints() {
		if e.Zone != zone || !e.Process().Running() {
			continue
		}
		e.Process().Kill()
		r.racksKilled = append(r.racksKilled, rackKilled{e.Rack, time.Now().UnixMilli()})
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

func (r *run) zoneBack(zone string) error {
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

// waitUntil waits for an event with a bound.
func (r *run) waitUntil(bound time.Duration, what string, check func() error) error {
	ctx, cancel := context.WithTimeout(r.ctx, bound)
	defer cancel()
	return r.fleet.Wait(ctx, what, check)
}
