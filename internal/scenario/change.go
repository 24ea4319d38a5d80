package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
	"turmericmoor/internal/harness"
	"turmericmoor/internal/judge"
	"turmericmoor/io/tmoperator"
)

const (
	// observeInterval is the interval at which the configuration of each entry
	// is read.
	observeInterval = 250 * time.Millisecond
	// changeRetryInterval is the pause before a change is sent again under its id.
	changeRetryInterval = 50 * time.Millisecond
)

// acceptedChange is a change that an entry reported as in force.
type acceptedChange struct {
	id      string
	version uint64
	at      time.Time
}

// observation is the configuration that an entry returned to a request sent at
// requestedAt.
type observation struct {
	entry, incarnation string
	requestedAt        time.Time
	version            uint64
	config             tmfleet.Config
}

// parseChange parses a change and the number of the entry to send it to, by
// default the first running one.
func (r *run) parseChange(words []string) (tmchange.Change, int, error) {
	via := 1
	for i, e := range r.fleet.Entries() {
		if running(e) {
			via = i + 1
			break
		}
	}
	if n := len(words); n > 2 && words[n-2] == "via" {
		_, number, err := r.entry(words[n-1])
		if err != nil {
			return nil, 0, err
		}
		via, words = number, words[:n-2]
	}
	change, err := newChange(words)
	return change, via, err
}

// newChange converts the words of a script command to a change.
func newChange(words []string) (tmchange.Change, error) {
	number := 0
	if len(words) == 3 && words[0] != "zone" {
		var err error
		if number, err = strconv.Atoi(words[2]); err != nil {
			return nil, err
		}
	}
	switch {
	case len(words) == 2 && words[0] == "withdraw":
		return tmchange.WithdrawKey{Label: words[1]}, nil
	case len(words) == 3 && words[0] == "limit":
		return tmchange.SetLimit{Team: words[1], Limit: number}, nil
	case len(words) == 3 && words[0] == "share":
		return tmchange.SetShare{Team: words[1], Share: number}, nil
	case len(words) == 3 && words[0] == "zone" && words[1] == "out":
		return tmchange.ZoneOut{Name: "zone-" + words[2]}, nil
	case len(words) == 3 && words[0] == "zone" && words[1] == "in":
		return tmchange.ZoneIn{Name: "zone-" + words[2]}, nil
	}
	return nil, fmt.Errorf("unknown change %q, expected limit TEAM N, share TEAM N, withdraw TEAM or zone out|in NAME", words)
}

func changeCommand(verb string) command {
	return func(r *run, args []string) error {
		return r.change(append([]string{verb}, args...))
	}
}

// change applies one change, which must be in force within configBound, and records
// it for the checks at the end of the script.
func (r *run) change(words []string) error {
	change, via, err := r.parseChange(words)
	if err != nil {
		return err
	}
	a, err := r.apply(via, change)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, a)
	at := a.at.UnixMilli()
	switch c := change.(type) {
	case tmchange.WithdrawKey:
		r.withdrawn = append(r.withdrawn, startCutoff{c.Label, at})
	case tmchange.ZoneOut:
		r.absences = append(r.absences, absence{ZoneOutage: judge.ZoneOutage{Zone: c.Name, FromMs: at}})
	case tmchange.ZoneIn:
		for i := range r.absences {
			if r.absences[i].Zone == c.Name && r.absences[i].UntilMs == 0 {
				r.absences[i].UntilMs, r.absences[i].returnID = at, a.id
			}
		}
	}
	return nil
}

// absence is a period in which a zone is out of service. returnID is the id of the
// change that ended it, "" if none has.
type absence struct {
	judge.ZoneOutage
	returnID string
}

// zoneOutages returns the absences of zones as the table service has them: a zone is
// back once the change is written there. Entries may act on the change from then on,
// while the operator learns of it only with the answer to the change.
func (r *run) zoneOutages() ([]judge.ZoneOutage, error) {
	if len(r.absences) == 0 {
		return nil, nil
	}
	history, err := r.history()
	if err != nil {
		return nil, err
	}
	var list []judge.ZoneOutage
	for _, a := range r.absences {
		for _, v := range history {
			if a.returnID != "" && v.ChangeID == a.returnID {
				a.UntilMs = min(a.UntilMs, int64(v.Written))
			}
		}
		list = append(list, a.ZoneOutage)
	}
	return list, nil
}

// apply sends a change repeatedly under one id until it is in force, as an operator
// does after losing a response. A rejection with a status below 500 is returned
// immediately.
func (r *run) apply(via int, change tmchange.Change) (acceptedChange, error) {
	client, err := r.fleet.Operator(via)
	if err != nil {
		return acceptedChange{}, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, configBound)
	defer cancel()
	req := tmoperator.ChangeRequest{ID: uuid.NewString(), Changes: []tmchange.Change{change}}
	for {
		status, err := client.Apply(ctx, req)
		if err == nil && status.InForce {
			return acceptedChange{id: req.ID, version: status.Version, at: time.Now()}, nil
		}
		if err == nil {
			err = errors.New("stored, not yet confirmed")
		}
		var refused *tmoperator.APIError
		if errors.As(err, &refused) && refused.Status < 500 {
			return acceptedChange{}, err
		}
		select {
		case <-ctx.Done():
			return acceptedChange{}, fmt.Errorf("not in force within %v: %w", configBound, err)
		case <-time.After(changeRetryInterval):
		}
	}
}

// race applies changes concurrently. Each must be accepted or rejected with a
// conflict, and at least one must be accepted.
func (r *run) race(phrases []string) error {
	errs := make([]error, len(phrases))
	var wg sync.WaitGroup
	for i, phrase := range phrases {
		wg.Go(func() { errs[i] = r.change(strings.Fields(phrase)) })
	}
	wg.Wait()
	acceptedCount := 0
	for i, err := range errs {
		var refused *tmoperator.APIError
		switch {
		case err == nil:
			acceptedCount++
		case !errors.As(err, &refused) || refused.Status != 409:
			return fmt.Errorf("%s: %w", phrases[i], err)
		}
	}
	if acceptedCount == 0 {
		return fmt.Errorf("no change was accepted: %w", errors.Join(errs...))
	}
	return nil
}

// observeConfig records the configuration that an entry returns. It skips unhealthy
// entries and failed requests.
func (r *run) observeConfig(e *harness.Entry, number int) {
	if !r.isHealthy(e.URL) {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, healthTimeout)
	defer cancel()
	client, err := r.fleet.Operator(number)
	if err != nil {
		return
	}
	before, err := r.fleet.Dump(ctx, number)
	if err != nil {
		return
	}
	asked := time.Now()
	config, version, err := client.Config(ctx)
	if err != nil || version == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, observation{e.Name, before.Incarnation, asked, version, config})
}
