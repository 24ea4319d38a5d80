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
	// observeEvery is the interval in which the configuration of an entry is
	// read.
	observeEvery = 250 * time.Millisecond
	// retryChange is the pause before a change is sent again under its id.
	retryChange = 50 * time.Millisecond
)

// accepted is a change that an entry reported as in force.
type accepted struct {
	id      string
	version uint64
	at      time.Time
}

// observation is the configuration of an entry, asked for at a point in time.
type observation struct {
	entry, incarnation string
	asked              time.Time
	version            uint64
	config             tmfleet.Config
}

// parseChange reads a change and the entry that takes it.
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
	change, err := changeOf(words)
	return change, via, err
}

func changeOf(words []string) (tmchange.Change, error) {
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
	return nil, fmt.Errorf("%q, expected limit TEAM N, share TEAM N, withdraw TEAM or zone out|in NAME", words)
}

func changeVerb(verb string) command {
	return func(r *run, args []string) error {
		return r.change(append([]string{verb}, args...))
	}
}

// change makes one change, which has to be in force within the bound.
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
		r.withdrawn = append(r.withdrawn, since{c.Label, at})
	case tmchange.ZoneOut:
		r.absences = append(r.absences, judge.ZoneOutage{Zone: c.Name, FromMs: at})
	case tmchange.ZoneIn:
		for i := range r.absences {
			if r.absences[i].Zone == c.Name && r.absences[i].UntilMs == 0 {
				r.absences[i].UntilMs = at
			}
		}
	}
	return nil
}

// apply sends a change under one id until it is in force, as an operator does
// whose answer was lost. A refusal is returned at once.
func (r *run) apply(via int, change tmchange.Change) (accepted, error) {
	client, err := r.fleet.Operator(via)
	if err != nil {
		return accepted{}, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, configBound)
	defer cancel()
	req := tmoperator.ChangeRequest{ID: uuid.NewString(), Changes: []tmchange.Change{change}}
	for {
		status, err := client.Apply(ctx, req)
		if err == nil && status.InForce {
			return accepted{id: req.ID, version: status.Version, at: time.Now()}, nil
		}
		if err == nil {
			err = errors.New("stored, not yet confirmed")
		}
		var refused *tmoperator.APIError
		if errors.As(err, &refused) && refused.Status < 500 {
			return accepted{}, err
		}
		select {
		case <-ctx.Done():
			return accepted{}, fmt.Errorf("not in force within %v: %w", configBound, err)
		case <-time.After(retryChange):
		}
	}
}

// race makes changes at the same time. Each one is either accepted or refused
// with a conflict, and at least one is accepted.
func (r *run) race(phrases []string) error {
	errs := make([]error, len(phrases))
	var all sync.WaitGroup
	for i, phrase := range phrases {
		all.Go(func() { errs[i] = r.change(strings.Fields(phrase)) })
	}
	all.Wait()
	won := 0
	for i, err := range errs {
		var refused *tmoperator.APIError
		switch {
		case err == nil:
			won++
		case !errors.As(err, &refused) || refused.Status != 409:
			return fmt.Errorf("%s: %w", phrases[i], err)
		}
	}
	if won == 0 {
		return fmt.Errorf("none was accepted: %w", errors.Join(errs...))
	}
	return nil
}

// observeConfig keeps what an entry shows as its configuration.
func (r *run) observeConfig(e *harness.Entry, number int) {
	if !r.usable(e.URL) {
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
