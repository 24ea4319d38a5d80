package tmentry

import (
	"context"
	"encoding/json"
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmcodec"
)

// wireDump is the JSON form of the state of an entry.
type wireDump struct {
	Entry        string          `json:"entry"`
	Zone         string          `json:"zone"`
	Incarnation  string          `json:"incarnation"`
	Version      uint64          `json:"version"`
	InForce      uint64          `json:"in_force_version"`
	Fresh        bool            `json:"fresh"`
	FreshForMs   int64           `json:"fresh_for_ms"`
	Stopping     bool            `json:"stopping"`
	Members      []dumpMember    `json:"members"`
	Demand       []dumpDemand    `json:"demand"`
	Slices       []dumpSlice     `json:"slices"`
	Leases       []dumpLease     `json:"leases"`
	OpenRequests int             `json:"open_requests"`
	Config       json.RawMessage `json:"config"`
}

type dumpMember struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	HeardMsAgo  int64  `json:"heard_ms_ago"`
}

type dumpDemand struct {
	Pool    string `json:"pool"`
	Team    string `json:"team"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
}

type dumpSlice struct {
	Team      string `json:"team"`
	Held      int    `json:"held"`
	InUse     int    `json:"in_use"`
	Available int    `json:"available"`
}

type dumpLease struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
	Target   int    `json:"target"`
	State    string `json:"state"`
	Usable   bool   `json:"usable"`
	Ejected  bool   `json:"aside"`
}

// noReport is the report age in a dump of a member that has reported nothing.
const noReport = -1

// Dump implements tmoperator.Backend. The result contains neither keys nor
// their hashes.
func (e *Entry) Dump(context.Context) (json.RawMessage, error) {
	state := e.tracker.State()
	config, err := tmcodec.EncodeConfig(state.Config(), false)
	if err != nil {
		return nil, fmt.Errorf("tmentry: dump: %w", err)
	}
	d := wireDump{
		Entry:       e.opts.Name,
		Zone:        e.opts.Zone,
		Incarnation: e.self.Incarnation(),
		Version:     state.Version(),
		InForce:     e.tracker.InForceVersion(),
		Fresh:       e.tracker.Fresh(),
		Config:      config,
	}
	if until, ok := e.tracker.FreshUntil(); ok {
		d.FreshForMs = int64(max(0, until.Sub(e.clock.Now())))
	}
	e.tables.dump(&d)
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("tmentry: dump: %w", err)
	}
	return data, nil
}

// dump fills in what the tables know.
func (t *tables) dump(d *wireDump) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	d.Stopping = t.stopping
	d.OpenRequests = len(t.jobs)
	for incarnation, m := range t.state.Members().All() {
		d.Members = append(d.Members, dumpMember{
			Name:        m.Name(),
			Zone:        m.Zone(),
			Incarnation: incarnation,
			HeardMsAgo:  t.reportAgeLocked(incarnation, now),
		})
	}
	for key, load := range t.queue.Demand().All() {
		d.Demand = append(d.Demand, dumpDemand{Pool: key.Pool, Team: key.Team, Queued: load.Queued, Running: load.Running})
	}
	for name := range t.state.Config().Teams().All() {
		d.Slices = append(d.Slices, dumpSlice{
			Team:      name,
			Held:      t.ledger.OwnRow().Holding(name).Held,
			InUse:     t.ledger.InUse(name),
			Available: t.ledger.Available(name),
		})
	}
	for name, in := range t.state.Config().Instances().All() {
		l, ok := t.leases[name]
		if !ok {
			continue
		}
		d.Leases = append(d.Leases, dumpLease{
			Instance: name,
			Pool:     in.Pool(),
			Slots:    l.slots,
			Running:  t.picker.Running(name),
			Target:   t.targets[in.Pool()].Get(name, t.e.self.Incarnation()),
			State:    l.state.String(),
			Usable:   t.usableLocked(in, l),
			Ejected:  t.health.Ejected(name),
		})
	}
}

// reportAgeLocked returns the milliseconds since the last report of a member.
func (t *tables) reportAgeLocked(incarnation string, now tmclock.Millis) int64 {
	if incarnation == t.e.self.Incarnation() {
		return 0
	}
	report, ok := t.peers[incarnation]
	if !ok {
		return noReport
	}
	return int64(now.Sub(report.receivedAt))
}
