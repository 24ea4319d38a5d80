package tmfleet

import "slices"

// recentChangesKept bounds the change ids that a State remembers. A retry of a
// change whose answer was lost arrives long before 256 further changes.
const recentChangesKept = 256

// Member is an entry process that is recorded in the State.
type Member struct {
	name        string
	incarnation string
	address     string
	zone        string
}

// NewMember returns a Member. The incarnation is unique for each start of the
// process, the address is IP:port of its peer listener.
func NewMember(name, incarnation, address, zone string) Member {
	return Member{name: name, incarnation: incarnation, address: address, zone: zone}
}

// Name returns the name of the entry from its settings.
func (m Member) Name() string { return m.name }

// Incarnation returns the id of this start of the process.
func (m Member) Incarnation() string { return m.incarnation }

// Address returns IP:port of the peer listener.
func (m Member) Address() string { return m.address }

// Zone returns the availability zone of the entry.
func (m Member) Zone() string { return m.zone }

// State is one version of what all entries agree on. A higher version always
// replaces a lower one.
type State struct {
	version  uint64
	members  Table[string, Member]
	previous Table[string, Member]
	config   Config
	recent   []string
}

// NewState returns a State as it is read from a codec. The tables of members
// are keyed by incarnation, recent has the ids of the last changes, newest
// last.
func NewState(version uint64, members, previous Table[string, Member], config Config, recent []string) State {
	return State{
		version:  version,
		members:  members,
		previous: previous,
		config:   config,
		recent:   slices.Clone(recent),
	}
}

// Version returns the number of the version. The empty State has version 0.
func (s State) Version() uint64 { return s.version }

// Members returns the entries of this version by incarnation.
func (s State) Members() Table[string, Member] { return s.members }

// PreviousMembers returns the entries before the last change of membership.
func (s State) PreviousMembers() Table[string, Member] { return s.previous }

// Config returns the configuration.
func (s State) Config() Config { return s.config }

// RecentChanges returns the ids of the last changes, newest last. The caller
// owns the slice.
func (s State) RecentChanges() []string { return slices.Clone(s.recent) }

// HasChange reports whether the change with the given id is among the last
// changes that led to s.
func (s State) HasChange(id string) bool {
	return slices.Contains(s.recent, id)
}

// Next returns the following version with another configuration. The change
// id is remembered unless it is empty.
func (s State) Next(changeID string, config Config) State {
	n := s
	n.version++
	n.config = config
	n.recent = appendRecent(s.recent, changeID)
	return n
}

// NextMembers returns the following version with other members. Members of s
// become the previous members.
func (s State) NextMembers(members Table[string, Member]) State {
	n := s
	n.version++
	n.previous = s.members
	n.members = members
	return n
}

func appendRecent(recent []string, id string) []string {
	if id == "" {
		return recent
	}
	kept := recent
	if len(kept) >= recentChangesKept {
		kept = kept[len(kept)-recentChangesKept+1:]
	}
	return append(slices.Clone(kept), id)
}
