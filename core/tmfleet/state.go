package tmfleet

import "slices"

// maxRecentChanges limits the number of change IDs that a State keeps to detect
// retries. A retry of a change whose answer was lost arrives long before 256
// further changes.
const maxRecentChanges = 256

// Member is an entry that takes part in the agreement on the State.
type Member struct {
	name        string
	incarnation string
	address     string
	zone        string
}

// NewMember returns a Member. The incarnation is the ID of one start of the
// process, unique among all starts. The address is the IP:port of the listener for
// other entries.
func NewMember(name, incarnation, address, zone string) Member {
	return Member{name: name, incarnation: incarnation, address: address, zone: zone}
}

// Name returns the name of the entry from its settings.
func (m Member) Name() string { return m.name }

// Incarnation returns the ID of this start of the process.
func (m Member) Incarnation() string { return m.incarnation }

// Address returns the IP:port of the listener for other entries.
func (m Member) Address() string { return m.address }

// Zone returns the availability zone of the entry.
func (m Member) Zone() string { return m.zone }

// State is one version of the membership and configuration that all entries
// agree on. A higher version always replaces a lower one.
type State struct {
	version       uint64
	members       Table[string, Member]
	previous      Table[string, Member]
	config        Config
	recentChanges []string
}

// NewState returns a State as decoded by a codec. The tables of members are
// keyed by incarnation. The slice recentChanges has the IDs of the last changes,
// newest last.
func NewState(version uint64, members, previous Table[string, Member], config Config, recentChanges []string) State {
	return State{
		version:       version,
		members:       members,
		previous:      previous,
		config:        config,
		recentChanges: slices.Clone(recentChanges),
	}
}

// Version returns the version number. The zero State has version 0.
func (s State) Version() uint64 { return s.version }

// Members returns the entries of this version by incarnation.
func (s State) Members() Table[string, Member] { return s.members }

// PreviousMembers returns the entries before the last membership change, by
// incarnation.
func (s State) PreviousMembers() Table[string, Member] { return s.previous }

// Config returns the configuration.
func (s State) Config() Config { return s.config }

// RecentChanges returns the IDs of the last changes, newest last. The caller
// owns the slice.
func (s State) RecentChanges() []string { return slices.Clone(s.recentChanges) }

// HasChange reports whether the change with the given ID is among the last
// changes that led to s.
func (s State) HasChange(id string) bool {
	return slices.Contains(s.recentChanges, id)
}

// Next returns the next version with the given configuration. The change ID is
// added to the recent changes unless it is empty.
func (s State) Next(changeID string, config Config) State {
	n := s
	n.version++
	n.config = config
	n.recentChanges = appendRecentChange(s.recentChanges, changeID)
	return n
}

// NextMembers returns the next version with the given members. The members of s
// become the previous members.
func (s State) NextMembers(members Table[string, Member]) State {
	n := s
	n.version++
	n.previous = s.members
	n.members = members
	return n
}

func appendRecentChange(recent []string, id string) []string {
	if id == "" {
		return recent
	}
	kept := recent
	if len(kept) >= maxRecentChanges {
		kept = kept[len(kept)-maxRecentChanges+1:]
	}
	return append(slices.Clone(kept), id)
}
