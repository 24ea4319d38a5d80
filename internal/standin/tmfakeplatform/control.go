package tmfakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"turmericmoor/core/tmclock"
)

// Control sets the faults. Fields that a control call leaves out keep their
// values.
type Control struct {
	// Down makes all calls fail with 503.
	Down bool `json:"down"`
	// SlowMs delays each call, half of it before the effect.
	SlowMs int64 `json:"slow_ms"`
	// LoseAnswers is the number of writes to come that take effect and whose
	// connection is then closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// Only limits the platform to calls of these entries, unless it is nil.
	Only []string `json:"only"`
	// ListLagMs is how far the list of instances lags.
	ListLagMs int64 `json:"list_lag_ms"`
}

// Stats count the calls that were served and those refused with 429.
type Stats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Limited int `json:"limited"`
}

// Instance is an instance in the list.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Address string `json:"address"`
	// State is live, leaving or gone.
	State string `json:"state"`
}

type instanceChange struct {
	at       tmclock.Millis
	instance Instance
}

// SetControl replaces the faults.
func (p *Platform) SetControl(c Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = c
}

// SetInstance records a change of an instance, which the list shows when its
// lag has passed.
func (p *Platform) SetInstance(in Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, instanceChange{at: p.clock.Now(), instance: in})
}

// Stats returns the counts since the start.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// handleControl registers the calls of the stand-in alone. They show no faults
// and don't count as reads or writes.
func (p *Platform) handleControl() {
	p.mux.HandleFunc("POST /v1/control", func(w http.ResponseWriter, r *http.Request) {
		next, err := p.mergeControl(r.Body)
		if err != nil {
			send(w, failure(http.StatusBadRequest, "body: %v", err))
			return
		}
		send(w, answer{status: http.StatusOK, value: next})
	})
	p.mux.HandleFunc("POST /v1/control/instances", func(w http.ResponseWriter, r *http.Request) {
		var in Instance
		err := json.NewDecoder(r.Body).Decode(&in)
		if err != nil || in.Name == "" || !slices.Contains([]string{"live", "leaving", "gone"}, in.State) {
			send(w, failure(http.StatusBadRequest, "expected name and state live, leaving or gone"))
			return
		}
		p.SetInstance(in)
		send(w, answer{status: http.StatusOK, value: in})
	})
	p.mux.HandleFunc("GET /v1/control/stats", func(w http.ResponseWriter, _ *http.Request) {
		send(w, answer{status: http.StatusOK, value: p.Stats()})
	})
	p.mux.HandleFunc("GET /v1/control/rows/{table}", func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		rows := p.sorted(r.PathValue("table"), "", "")
		p.mu.Unlock()
		send(w, answer{status: http.StatusOK, value: map[string][]row{"rows": rows}})
	})
}

// mergeControl decodes the fields of a control call over the present values.
func (p *Platform) mergeControl(r io.Reader) (Control, error) {
	body, err := io.ReadAll(r)
	if err != nil {
		return Control{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.control
	next.Only = slices.Clone(next.Only)
	if err := json.Unmarshal(body, &next); err != nil {
		return Control{}, err
	}
	p.control = next
	return next, nil
}

// listInstances folds the changes that are older than the lag.
func (p *Platform) listInstances(_ *http.Request, _ []byte) answer {
	until := p.clock.Now().Add(-tmclock.Span(p.control.ListLagMs))
	seen := make(map[string]Instance)
	for _, c := range p.changes {
		if c.at.After(until) {
			break
		}
		seen[c.instance.Name] = c.instance
		if c.instance.State == "gone" {
			delete(seen, c.instance.Name)
		}
	}
	list := make([]Instance, 0, len(seen))
	for _, in := range seen {
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return answer{status: http.StatusOK, value: map[string][]Instance{"instances": list}}
}
