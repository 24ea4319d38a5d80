// Package tmcodec encodes domain types as JSON and decodes them, with separate
// types for the JSON form. Field names are in snake_case. A State has the same
// form in the table service, between entries and towards operators.
package tmcodec

import (
	"encoding/json"
	"fmt"

	"turmericmoor/core/tmfleet"
)

type wireState struct {
	Version         uint64       `json:"version"`
	Members         []wireMember `json:"members"`
	PreviousMembers []wireMember `json:"previous_members"`
	Config          wireConfig   `json:"config"`
	RecentChanges   []string     `json:"recent_changes"`
}

type wireMember struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
}

type wireConfig struct {
	Zones     []wireZone     `json:"zones"`
	Pools     []wirePool     `json:"pools"`
	Queues    []wireQueue    `json:"queues"`
	Teams     []wireTeam     `json:"teams"`
	Keys      []wireKey      `json:"keys"`
	Instances []wireInstance `json:"instances"`
}

type wireZone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

type wirePool struct {
	Name           string `json:"name"`
	MaxUnavailable int    `json:"max_unavailable"`
}

type wireQueue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	Open bool   `json:"open"`
	Team string `json:"team,omitempty"`
}

type wireTeam struct {
	Name         string `json:"name"`
	Share        int    `json:"share"`
	Limit        int    `json:"limit"`
	LimitVersion uint64 `json:"limit_version"`
	Urgent       bool   `json:"urgent"`
}

type wireKey struct {
	Hash  string `json:"hash"`
	Team  string `json:"team"`
	Label string `json:"label"`
}

type wireInstance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Pool    string `json:"pool"`
	MoveTo  string `json:"move_to,omitempty"`
	Slots   int    `json:"slots"`
	Duty    string `json:"duty"`
}

// EncodeState returns s as JSON.
func EncodeState(s tmfleet.State) ([]byte, error) {
	w := wireState{
		Version:         s.Version(),
		Members:         encodeMembers(s.Members()),
		PreviousMembers: encodeMembers(s.PreviousMembers()),
		Config:          encodeConfig(s.Config()),
		RecentChanges:   s.RecentChanges(),
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("tmcodec: encode state %d: %w", s.Version(), err)
	}
	return data, nil
}

// DecodeState decodes a State from JSON.
func DecodeState(data []byte) (tmfleet.State, error) {
	var w wireState
	if err := json.Unmarshal(data, &w); err != nil {
		return tmfleet.State{}, fmt.Errorf("tmcodec: decode state: %w", err)
	}
	config, err := decodeConfig(w.Config)
	if err != nil {
		return tmfleet.State{}, fmt.Errorf("tmcodec: decode state %d: %w", w.Version, err)
	}
	members := decodeMembers(w.Members)
	previous := decodeMembers(w.PreviousMembers)
	return tmfleet.NewState(w.Version, members, previous, config, w.RecentChanges), nil
}

// EncodeConfig returns c as JSON. The hashes of keys are empty if withHashes is
// false, as in dumps.
func EncodeConfig(c tmfleet.Config, withHashes bool) ([]byte, error) {
	w := encodeConfig(c)
	if !withHashes {
		for i := range w.Keys {
			w.Keys[i].Hash = ""
		}
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("tmcodec: encode config: %w", err)
	}
	return data, nil
}

// DecodeConfig decodes a Config from JSON.
func DecodeConfig(data []byte) (tmfleet.Config, error) {
	var w wireConfig
	if err := json.Unmarshal(data, &w); err != nil {
		return tmfleet.Config{}, fmt.Errorf("tmcodec: decode config: %w", err)
	}
	return decodeConfig(w)
}

func encodeMembers(t tmfleet.Table[string, tmfleet.Member]) []wireMember {
	out := make([]wireMember, 0, t.Len())
	for _, m := range t.All() {
		out = append(out, wireMember{Name: m.Name(), Incarnation: m.Incarnation(), Address: m.Address(), Zone: m.Zone()})
	}
	return out
}

func decodeMembers(list []wireMember) tmfleet.Table[string, tmfleet.Member] {
	rows := make(map[string]tmfleet.Member, len(list))
	for _, m := range list {
		rows[m.Incarnation] = tmfleet.NewMember(m.Name, m.Incarnation, m.Address, m.Zone)
	}
	return tmfleet.NewTable(rows)
}

func encodeConfig(c tmfleet.Config) wireConfig {
	w := wireConfig{
		Zones:     make([]wireZone, 0, c.Zones().Len()),
		Pools:     make([]wirePool, 0, c.Pools().Len()),
		Queues:    make([]wireQueue, 0, c.Queues().Len()),
		Teams:     make([]wireTeam, 0, c.Teams().Len()),
		Keys:      make([]wireKey, 0, c.Keys().Len()),
		Instances: make([]wireInstance, 0, c.Instances().Len()),
	}
	for _, z := range c.Zones().All() {
		w.Zones = append(w.Zones, wireZone{Name: z.Name(), Region: z.Region(), Out: z.OutOfService()})
	}
	for _, p := range c.Pools().All() {
		w.Pools = append(w.Pools, wirePool{Name: p.Name(), MaxUnavailable: p.Budget().MaxUnavailable()})
	}
	for _, q := range c.Queues().All() {
		w.Queues = append(w.Queues, wireQueue{Name: q.Name(), Pool: q.Pool(), Open: q.Open(), Team: q.Team()})
	}
	for _, t := range c.Teams().All() {
		w.Teams = append(w.Teams, wireTeam{
			Name:         t.Name(),
			Share:        t.Share(),
			Limit:        t.Limit(),
			LimitVersion: t.LimitVersion(),
			Urgent:       t.Urgent(),
		})
	}
	for _, k := range c.Keys().All() {
		w.Keys = append(w.Keys, wireKey{Hash: k.Hash(), Team: k.Team(), Label: k.Label()})
	}
	for _, i := range c.Instances().All() {
		w.Instances = append(w.Instances, wireInstance{
			Name:    i.Name(),
			Address: i.Address(),
			Zone:    i.Zone(),
			Rack:    i.Rack(),
			Pool:    i.Pool(),
			MoveTo:  i.MoveTo(),
			Slots:   i.Slots(),
			Duty:    i.Duty().String(),
		})
	}
	return w
}

func decodeConfig(w wireConfig) (tmfleet.Config, error) {
	instances, err := decodeInstances(w.Instances)
	if err != nil {
		return tmfleet.Config{}, err
	}
	zones := make(map[string]tmfleet.Zone, len(w.Zones))
	for _, z := range w.Zones {
		zones[z.Name] = tmfleet.NewZone(z.Name, z.Region, z.Out)
	}
	pools := make(map[string]tmfleet.Pool, len(w.Pools))
	for _, p := range w.Pools {
		pools[p.Name] = tmfleet.NewPool(p.Name, tmfleet.NewBudget(p.MaxUnavailable))
	}
	queues := make(map[string]tmfleet.Queue, len(w.Queues))
	for _, q := range w.Queues {
		queues[q.Name] = decodeQueue(q)
	}
	teams := make(map[string]tmfleet.Team, len(w.Teams))
	for _, t := range w.Teams {
		teams[t.Name] = tmfleet.NewTeam(t.Name, t.Share, t.Limit, t.Urgent).WithLimitVersion(t.LimitVersion)
	}
	keys := make(map[string]tmfleet.Key, len(w.Keys))
	for _, k := range w.Keys {
		keys[k.Hash] = tmfleet.NewKey(k.Hash, k.Team, k.Label)
	}
	return tmfleet.Config{}.
		WithZones(tmfleet.NewTable(zones)).
		WithPools(tmfleet.NewTable(pools)).
		WithQueues(tmfleet.NewTable(queues)).
		WithTeams(tmfleet.NewTable(teams)).
		WithKeys(tmfleet.NewTable(keys)).
		WithInstances(instances), nil
}

func decodeQueue(q wireQueue) tmfleet.Queue {
	if q.Open {
		return tmfleet.NewOpenQueue(q.Name, q.Pool, q.Team)
	}
	return tmfleet.NewQueue(q.Name, q.Pool)
}

func decodeInstances(list []wireInstance) (tmfleet.Table[string, tmfleet.Instance], error) {
	rows := make(map[string]tmfleet.Instance, len(list))
	for _, i := range list {
		duty, err := tmfleet.ParseDuty(i.Duty)
		if err != nil {
			return tmfleet.Table[string, tmfleet.Instance]{}, fmt.Errorf("instance %q: %w", i.Name, err)
		}
		rows[i.Name] = tmfleet.NewInstance(tmfleet.InstanceParams{
			Name:    i.Name,
			Address: i.Address,
			Zone:    i.Zone,
			Rack:    i.Rack,
			Pool:    i.Pool,
			MoveTo:  i.MoveTo,
			Slots:   i.Slots,
			Duty:    duty,
		})
	}
	return tmfleet.NewTable(rows), nil
}
