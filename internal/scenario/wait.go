package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/judge"
)

// wait waits for an event. The last argument is the timeout.
func (r *run) wait(args []string) error {
	if len(args) < 2 {
		return errors.New("expected an event and a timeout")
	}
	bound, err := time.ParseDuration(args[len(args)-1])
	if err != nil {
		return err
	}
	args = args[:len(args)-1]
	if args[0] == "fleet" {
		ctx, cancel := context.WithTimeout(r.ctx, bound)
		defer cancel()
		return r.fleet.WaitReady(ctx)
	}
	check, err := r.parseEvent(args)
	if err != nil {
		return err
	}
	return r.waitUntil(bound, fmt.Sprint(args), check)
}

// parseEvent returns a check that returns nil once the event has happened.
func (r *run) parseEvent(args []string) (func() error, error) {
	switch args[0] {
	case "idle":
		return r.checkIdle, nil
	case "work":
		return r.submissionAfter(argAt(args, 1), func(s judge.Submission) bool { return s.Code == judge.CodeOK }), nil
	case "refused":
		return r.submissionAfter(argAt(args, 1), func(s judge.Submission) bool { return s.Code == argAt(args, 2) }), nil
	}
	e, number, err := r.entry(args[0])
	if err != nil {
		return nil, err
	}
	switch argAt(args, 1) {
	case "healthy":
		return func() error { return r.checkHealthIs(e, true) }, nil
	case "unhealthy":
		return func() error { return r.checkHealthIs(e, false) }, nil
	case "resumed":
		return func() error { return r.checkResumed(e) }, nil
	case "knows-changes":
		return func() error { return r.checkKnowsChanges(number) }, nil
	case "holds":
		n, err := strconv.Atoi(argAt(args, 2))
		return func() error { return r.checkOpenRequests(number, n) }, err
	}
	return nil, fmt.Errorf("unknown event %q", args)
}

// submissionAfter returns a check for a matching submission of a load or team that
// was sent after this call.
func (r *run) submissionAfter(name string, match func(judge.Submission) bool) func() error {
	from := time.Now().UnixMicro()
	return func() error {
		r.mu.Lock()
		defer r.mu.Unlock()
		codes := map[string]int{}
		for _, s := range r.submissions {
			if s.SentUs < from || s.Team != name && s.Stream != name {
				continue
			}
			if match(s) {
				return nil
			}
			codes[s.Code+" "+s.Outcome]++
		}
		return fmt.Errorf("no matching submission; by code and outcome: %v", codes)
	}
}

// checkHealthIs returns nil when the last health check of an entry had the wanted
// result.
func (r *run) checkHealthIs(e *harness.Entry, want bool) error {
	if r.isHealthy(e.URL) != want {
		return fmt.Errorf("health of %s is %t", e.Name, !want)
	}
	return nil
}

func (r *run) checkResumed(e *harness.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.resumed[e.Name] {
		return errors.New("still paused")
	}
	return nil
}

// checkOpenRequests returns nil when an entry has at least n open requests.
func (r *run) checkOpenRequests(number, n int) error {
	dump, err := r.fleet.Dump(r.ctx, number)
	if err == nil && dump.OpenRequests < n {
		err = fmt.Errorf("%d open requests", dump.OpenRequests)
	}
	return err
}

// checkKnowsChanges returns nil when an entry has all accepted changes.
func (r *run) checkKnowsChanges(number int) error {
	dump, err := r.fleet.Dump(r.ctx, number)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.accepted {
		if dump.Version < a.version {
			return fmt.Errorf("version %d, expected at least %d", dump.Version, a.version)
		}
	}
	return nil
}

// checkIdle returns nil when no entry has an open request, a running task or a unit
// of a limit in use.
func (r *run) checkIdle() error {
	for i, e := range r.fleet.Entries() {
		if !running(e) {
			continue
		}
		dump, err := r.fleet.Dump(r.ctx, i+1)
		if err != nil {
			return err
		}
		busy := dump.OpenRequests
		for _, l := range dump.Leases {
			busy += l.Running
		}
		for _, s := range dump.Slices {
			busy += s.InUse
		}
		if busy > 0 {
			return fmt.Errorf("%s has %d requests, tasks and units in use", e.Name, busy)
		}
	}
	return nil
}
