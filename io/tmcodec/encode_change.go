package tmcodec

import "turmericmoor/core/tmchange"

// wireChange is the JSON form of a change of any op. Numbers are pointers, so that
// a number that belongs to the op is written even if it is 0.
type wireChange struct {
	Op             string `json:"op"`
	Name           string `json:"name,omitempty"`
	Address        string `json:"address,omitempty"`
	Region         string `json:"region,omitempty"`
	Zone           string `json:"zone,omitempty"`
	Rack           string `json:"rack,omitempty"`
	Pool           string `json:"pool,omitempty"`
	To             string `json:"to,omitempty"`
	Team           string `json:"team,omitempty"`
	Hash           string `json:"hash,omitempty"`
	Label          string `json:"label,omitempty"`
	MaxUnavailable *int   `json:"max_unavailable,omitempty"`
	Share          *int   `json:"share,omitempty"`
	Limit          *int   `json:"limit,omitempty"`
	Slots          *int   `json:"slots,omitempty"`
	Open           bool   `json:"open,omitempty"`
	Urgent         bool   `json:"urgent,omitempty"`
}

// encodeChange returns the JSON form of change, and false if the type of change is
// unknown.
func encodeChange(change tmchange.Change) (wireChange, bool) {
	if change == nil {
		return wireChange{}, false
	}
	w := wireChange{Op: change.Op()}
	switch c := change.(type) {
	case tmchange.AddZone:
		w.Name, w.Region = c.Name, c.Region
	case tmchange.ZoneOut:
		w.Name = c.Name
	case tmchange.ZoneIn:
		w.Name = c.Name
	case tmchange.AddPool:
		w.Name, w.MaxUnavailable = c.Name, &c.MaxUnavailable
	case tmchange.RemovePool:
		w.Name = c.Name
	case tmchange.SetBudget:
		w.Pool, w.MaxUnavailable = c.Pool, &c.MaxUnavailable
	case tmchange.AddQueue:
		w.Name, w.Pool, w.Open, w.Team = c.Name, c.Pool, c.Open, c.Team
	case tmchange.RemoveQueue:
		w.Name = c.Name
	case tmchange.AddTeam:
		w.Name, w.Share, w.Limit, w.Urgent = c.Name, &c.Share, &c.Limit, c.Urgent
	case tmchange.RemoveTeam:
		w.Name = c.Name
	case tmchange.SetShare:
		w.Team, w.Share = c.Team, &c.Share
	case tmchange.SetLimit:
		w.Team, w.Limit = c.Team, &c.Limit
	case tmchange.GrantKey:
		w.Hash, w.Team, w.Label = c.Hash, c.Team, c.Label
	case tmchange.WithdrawKey:
		w.Hash, w.Label = c.Hash, c.Label
	case tmchange.AddInstance:
		w.Name, w.Address, w.Zone, w.Rack, w.Pool, w.Slots = c.Name, c.Address, c.Zone, c.Rack, c.Pool, &c.Slots
	case tmchange.RemoveInstance:
		w.Name = c.Name
	case tmchange.MoveInstance:
		w.Name, w.To = c.Name, c.To
	case tmchange.FinishMove:
		w.Name = c.Name
	case tmchange.MarkLeaving:
		w.Name = c.Name
	case tmchange.MarkDraining:
		w.Name = c.Name
	case tmchange.MarkRebooting:
		w.Name = c.Name
	case tmchange.MarkServing:
		w.Name = c.Name
	default:
		return wireChange{}, false
	}
	return w, true
}
