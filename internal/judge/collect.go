package judge

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"turmericmoor/core/tmchange"
	"turmericmoor/io/tmcodec"
)

// maxBodyBytes limits the size of one response body. A row of an endpoint's
// journal has about 300 bytes.
const maxBodyBytes = 1 << 30

// EndpointEvents returns the journal of the endpoint at the URL base, for example
// "http://127.0.0.1:7001", without its first skip events.
func EndpointEvents(ctx context.Context, client *http.Client, base string, skip int) ([]Event, error) {
	var w struct {
		Events []Event `json:"events"`
	}
	err := getJSON(ctx, client, fmt.Sprintf("%s/v1/journal?after=%d", base, skip), &w)
	return w.Events, err
}

type row struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// fetchRows reads a table through the control API of the stand-in, which injects
// no faults and doesn't count the reads.
func fetchRows(ctx context.Context, client *http.Client, platform, table string) ([]row, error) {
	var w struct {
		Rows []row `json:"rows"`
	}
	err := getJSON(ctx, client, platform+"/v1/control/rows/"+url.PathEscape(table), &w)
	return w.Rows, err
}

// PlatformLimits returns the limits of all teams over time, from the state and
// its history. A limit that is older than the history applies from time 0.
func PlatformLimits(ctx context.Context, client *http.Client, platform string) ([]Limit, error) {
	history, err := fetchRows(ctx, client, platform, "state_history")
	if err != nil {
		return nil, err
	}
	var limits []Limit
	hasHistory := map[string]bool{}
	for _, r := range history {
		var w struct {
			WrittenMs int64           `json:"written_ms"`
			Changes   json.RawMessage `json:"changes"`
		}
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return nil, fmt.Errorf("judge: state_history/%s: %w", r.Key, err)
		}
		changes, err := tmcodec.DecodeChanges(w.Changes)
		if err != nil {
			return nil, fmt.Errorf("judge: state_history/%s: %w", r.Key, err)
		}
		for _, change := range changes {
			if l, ok := limitOf(change); ok {
				l.FromMs = w.WrittenMs
				limits = append(limits, l)
				hasHistory[l.Team] = true
			}
		}
	}
	current, err := fetchRows(ctx, client, platform, "state")
	if err != nil || len(current) == 0 {
		return limits, err
	}
	state, err := tmcodec.DecodeState(current[0].Value)
	if err != nil {
		return nil, fmt.Errorf("judge: state/%s: %w", current[0].Key, err)
	}
	for name, team := range state.Config().Teams().All() {
		if !hasHistory[name] {
			limits = append(limits, Limit{Team: name, Tasks: team.Limit()})
		}
	}
	slices.SortStableFunc(limits, func(a, b Limit) int { return cmp.Compare(a.FromMs, b.FromMs) })
	return limits, nil
}

func limitOf(change tmchange.Change) (Limit, bool) {
	switch c := change.(type) {
	case tmchange.AddTeam:
		return Limit{Team: c.Name, Tasks: c.Limit}, true
	case tmchange.SetLimit:
		return Limit{Team: c.Team, Tasks: c.Limit}, true
	default:
		return Limit{}, false
	}
}

// PlatformRuns returns the records of requests in the table service.
func PlatformRuns(ctx context.Context, client *http.Client, platform string) ([]Run, error) {
	list, err := fetchRows(ctx, client, platform, "run")
	if err != nil {
		return nil, err
	}
	runs := make([]Run, 0, len(list))
	for _, r := range list {
		var w struct {
			State   string `json:"state"`
			Outcome string `json:"outcome"`
		}
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return nil, fmt.Errorf("judge: run/%s: %w", r.Key, err)
		}
		// The key is <minute>/<team>/<request id>.
		parts := strings.Split(r.Key, "/")
		if len(parts) != 3 {
			return nil, fmt.Errorf("judge: run/%s: the key has %d parts, expected 3", r.Key, len(parts))
		}
		team, err := url.PathUnescape(parts[1])
		if err != nil {
			return nil, fmt.Errorf("judge: run/%s: %w", r.Key, err)
		}
		run := Run{RequestID: parts[2], Team: team}
		if w.State == "done" {
			run.Outcome = w.Outcome
		}
		runs = append(runs, run)
	}
	return runs, nil
}

func getJSON(ctx context.Context, client *http.Client, target string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("judge: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("judge: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("judge: %s responded with status %d", target, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(out); err != nil {
		return fmt.Errorf("judge: %s: %w", target, err)
	}
	return nil
}
