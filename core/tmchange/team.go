package tmchange

import (
	"fmt"

	"turmericmoor/core/tmfleet"
)

func (c AddTeam) apply(d *draft) {
	ok := checkNew(d, "team", "name", c.Name, d.config.Teams())
	ok = checkRange(d, "share", c.Share, 1, MaxShare) && ok
	ok = d.checkLimit(c.Limit) && ok
	if !ok {
		return
	}
	team := tmfleet.NewTeam(c.Name, c.Share, c.Limit, c.Urgent).WithLimitVersion(d.nextVersion)
	d.setTeam(team)
}

func (d *draft) setTeam(team tmfleet.Team) {
	d.config = d.config.WithTeams(d.config.Teams().With(team.Name(), team))
}

func (c RemoveTeam) apply(d *draft) {
	if _, ok := lookup(d, "team", "name", c.Name, d.config.Teams()); !ok {
		return
	}
	ok := true
	for _, k := range d.config.Keys().All() {
		if k.Team() == c.Name {
			d.reject(InUse, "name", fmt.Sprintf("team %q has key %q", c.Name, k.Label()), "a team whose keys are withdrawn")
			ok = false
		}
	}
	for _, q := range d.config.Queues().All() {
		if q.Open() && q.Team() == c.Name {
			d.reject(InUse, "name", fmt.Sprintf("work on open queue %q counts for team %q", q.Name(), c.Name), "a team without open queues")
			ok = false
		}
	}
	if ok {
		d.config = d.config.WithTeams(d.config.Teams().Without(c.Name))
	}
}

func (c SetShare) apply(d *draft) {
	team, ok := lookup(d, "team", "team", c.Team, d.config.Teams())
	if !checkRange(d, "share", c.Share, 1, MaxShare) || !ok {
		return
	}
	d.setTeam(team.WithShare(c.Share))
}

func (c SetLimit) apply(d *draft) {
	team, ok := lookup(d, "team", "team", c.Team, d.config.Teams())
	if !d.checkLimit(c.Limit) || !ok {
		return
	}
	d.setTeam(team.WithLimit(c.Limit).WithLimitVersion(d.nextVersion))
}

func (c GrantKey) apply(d *draft) {
	ok := d.checkName("label", c.Label)
	if _, found := lookup(d, "team", "team", c.Team, d.config.Teams()); !found {
		ok = false
	}
	if !ValidHash(c.Hash) {
		d.reject(BadHash, "hash", "has the wrong form", "the SHA-256 of the key as 64 lower-case hex digits")
		ok = false
	}
	if d.config.Keys().Has(c.Hash) {
		d.reject(HashTaken, "hash", "is granted already", "the hash of a new key")
		ok = false
	}
	if _, found := d.keyByLabel(c.Label); found {
		d.reject(NameTaken, "label", fmt.Sprintf("key %q exists already", c.Label), "a label that no key has")
		ok = false
	}
	if ok {
		key := tmfleet.NewKey(c.Hash, c.Team, c.Label)
		d.config = d.config.WithKeys(d.config.Keys().With(c.Hash, key))
	}
}

func (d *draft) keyByLabel(label string) (string, bool) {
	for hash, k := range d.config.Keys().All() {
		if k.Label() == label {
			return hash, true
		}
	}
	return "", false
}

func (c WithdrawKey) apply(d *draft) {
	if (c.Hash == "") == (c.Label == "") {
		d.reject(KeyAmbiguous, "label", "is set together with hash, or both are empty", "either a label or a hash")
		return
	}
	hash := c.Hash
	if c.Label != "" {
		found := false
		if hash, found = d.keyByLabel(c.Label); !found {
			d.reject(UnknownName, "label", fmt.Sprintf("unknown key %q", c.Label), "the label of a granted key")
			return
		}
	}
	if !d.config.Keys().Has(hash) {
		d.reject(UnknownName, "hash", "does not belong to a granted key", "the hash of a granted key")
		return
	}
	d.config = d.config.WithKeys(d.config.Keys().Without(hash))
}
