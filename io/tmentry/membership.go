package tmentry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmfresh"
	"turmericmoor/io/tmpeer"
	"turmericmoor/io/tmstore"
)

// heartbeatTimeout is shorter than the freshness bound, so that after a lost
// answer there is time for another heartbeat.
const heartbeatTimeout = 1 * tmclock.Second

// membership keeps the State of the entry up to date, and the entry in the
// table of members.
type membership struct {
	e *Entry

	mu sync.Mutex
	// inFlight has the incarnations whose heartbeat has not been answered yet.
	inFlight map[string]bool
	leaving  bool
	// revisions has the table revision of the newest version that was read.
	revisions map[uint64]uint64
}

func newMembership(e *Entry) *membership {
	return &membership{e: e, inFlight: map[string]bool{}, revisions: map[uint64]uint64{}}
}

// refresh reads the State from the table service. Unless the entry is leaving,
// it then joins the members if it is not one of them, and otherwise removes
// members that are due for removal.
func (m *membership) refresh(ctx context.Context) {
	if err := m.pollVersion(ctx); err != nil {
		return
	}
	state := m.e.tracker.State()
	switch {
	case m.isLeaving():
	case !state.Members().Has(m.e.self.Incarnation()):
		m.join(ctx)
	case m.e.fresh() && m.e.tracker.InForce():
		m.removeSilent(ctx)
	}
}

// pollVersion reads the version of the State, and the State itself when it is
// newer than the installed one or its table revision is not known. The row with
// the version is written together with the State.
func (m *membership) pollVersion(ctx context.Context) error {
	sentAt := m.e.clock.Now()
	version, err := m.e.store.StateVersion(ctx)
	if errors.Is(err, tmstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		m.e.metrics.platformErrors.Inc()
		return err
	}
	m.e.tracker.TableRead(sentAt, version)
	if _, known := m.revisionOf(version); known && version <= m.e.tracker.State().Version() {
		return nil
	}
	_, _, err = m.readState(ctx)
	return err
}

// readState reads and installs the State. It returns the State and its
// revision, which is 0 when none is written yet.
func (m *membership) readState(ctx context.Context) (tmfleet.State, uint64, error) {
	sentAt := m.e.clock.Now()
	state, revision, err := m.e.store.State(ctx)
	if errors.Is(err, tmstore.ErrNotFound) {
		return tmfleet.State{}, 0, nil
	}
	if err != nil {
		m.e.metrics.platformErrors.Inc()
		return tmfleet.State{}, 0, err
	}
	m.e.install(state)
	m.e.tracker.TableRead(sentAt, state.Version())
	m.setRevision(state.Version(), revision)
	return state, revision, nil
}

// setRevision records the table revision of the newest version and drops those
// of older ones.
func (m *membership) setRevision(version, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.revisions)
	m.revisions[version] = revision
}

// revisionOf returns the table revision of a version, if that version was the
// newest one at the last read.
func (m *membership) revisionOf(version uint64) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	revision, ok := m.revisions[version]
	return revision, ok
}

// join adds the entry to the members, and removes the members known to be gone,
// such as earlier processes of the same name.
func (m *membership) join(ctx context.Context) {
	state := m.e.tracker.State()
	if state.Version() > 0 && !m.e.tracker.InForce() {
		return
	}
	err := m.update(ctx, func(s tmfleet.State) (tmfleet.State, error) {
		members := withoutMembers(s.Members(), m.e.tracker.GoneMembers())
		return s.NextMembers(members.With(m.e.self.Incarnation(), m.e.self)), nil
	}, func(s tmfleet.State) bool {
		return s.Members().Has(m.e.self.Incarnation())
	})
	if err == nil {
		m.e.log.Info("joined the members", "version", m.e.tracker.State().Version())
	}
}

// withoutMembers returns the members except the removed ones.
func withoutMembers(members tmfleet.Table[string, tmfleet.Member], removed []tmfleet.Member) tmfleet.Table[string, tmfleet.Member] {
	for _, r := range removed {
		members = members.Without(r.Incarnation())
	}
	return members
}

// removeSilent removes the members that are gone or have been silent for too
// long.
func (m *membership) removeSilent(ctx context.Context) {
	remove := append(m.e.tracker.SilentMembers(tmfresh.RemovalTimeout), m.e.tracker.GoneMembers()...)
	if len(remove) == 0 {
		return
	}
	err := m.update(ctx, func(s tmfleet.State) (tmfleet.State, error) {
		return s.NextMembers(withoutMembers(s.Members(), remove)), nil
	}, func(s tmfleet.State) bool {
		return withoutMembers(s.Members(), remove).Len() == s.Members().Len()
	})
	if err == nil {
		m.e.log.Warn("removed silent members", "members", memberNames(remove))
	}
}

func memberNames(members []tmfleet.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name())
	}
	return names
}

// errSuperseded means that the State changed while a change of the members was
// being written. The loop tries again later.
var errSuperseded = errors.New("tmentry: state has changed concurrently")

// update writes one change of the members by compare-and-set. A change that is
// not written because of another one is left to the next round, since the
// version with the other change has to be in force first.
func (m *membership) update(ctx context.Context, edit func(tmfleet.State) (tmfleet.State, error), done func(tmfleet.State) bool) error {
	installed := m.e.tracker.State().Version()
	state, revision, err := m.readState(ctx)
	if err != nil {
		return err
	}
	if done(state) {
		return nil
	}
	if state.Version() != installed {
		return errSuperseded
	}
	next, err := edit(state)
	if err != nil {
		return err
	}
	var t tmstore.Txn
	t.PutState(revision, next, tmstore.Revision{Written: tmclock.Wall()})
	if _, err := m.e.store.Commit(ctx, &t); err != nil {
		return fmt.Errorf("tmentry: change members: %w", err)
	}
	m.e.install(next)
	m.push(ctx)
	return nil
}

// leave removes the entry from the members on a graceful shutdown. Its slices
// have to be returned before, so that the other entries need not wait until
// they can reclaim them.
func (m *membership) leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	for ctx.Err() == nil {
		err := m.update(ctx, func(s tmfleet.State) (tmfleet.State, error) {
			if !m.e.tracker.InForce() {
				return tmfleet.State{}, errSuperseded
			}
			return s.NextMembers(s.Members().Without(m.e.self.Incarnation())), nil
		}, func(s tmfleet.State) bool {
			return !s.Members().Has(m.e.self.Incarnation())
		})
		if err == nil {
			return
		}
		if errors.Is(err, tmstore.ErrUnavailable) {
			// The entry can't leave without the table service. The other entries
			// remove it once it has been silent for long enough.
			return
		}
		sleep(ctx, 100*tmclock.Millisecond)
	}
}

func (m *membership) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// heartbeat sends a heartbeat to all other members, including those of the
// previous version. A member that has not answered the last heartbeat yet is
// skipped.
func (m *membership) heartbeat(ctx context.Context) {
	state := m.e.tracker.State()
	hb := tmpeer.Heartbeat{
		Version: state.Version(),
		Demand:  m.e.tables.demand(),
		Ejected: m.e.tables.ejectedEndpoints(),
		Leaving: m.isLeaving(),
	}
	for _, member := range peersOf(state, m.e.self.Incarnation()) {
		if !m.beginHeartbeat(member.Incarnation()) {
			continue
		}
		m.e.loops.Go(func() {
			defer m.endHeartbeat(member.Incarnation())
			m.sendHeartbeat(ctx, member, hb)
		})
	}
}

// peersOf returns the members of a State and of the one before, except self: a
// version is in force only when it has reached both.
func peersOf(state tmfleet.State, self string) []tmfleet.Member {
	all := map[string]tmfleet.Member{}
	maps.Insert(all, state.PreviousMembers().All())
	maps.Insert(all, state.Members().All())
	delete(all, self)
	peers := make([]tmfleet.Member, 0, len(all))
	for _, member := range tmfleet.NewTable(all).All() {
		peers = append(peers, member)
	}
	return peers
}

// beginHeartbeat marks a heartbeat as in flight. It returns false when one
// already is.
func (m *membership) beginHeartbeat(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[incarnation] {
		return false
	}
	m.inFlight[incarnation] = true
	return true
}

func (m *membership) endHeartbeat(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, incarnation)
}

// sendHeartbeat sends one heartbeat, records the answer, and fetches the State
// of a member that has a newer one.
func (m *membership) sendHeartbeat(ctx context.Context, member tmfleet.Member, hb tmpeer.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	defer cancel()
	sentAt := m.e.clock.Now()
	answer, err := m.e.node.Heartbeat(ctx, member, hb)
	var mismatch *tmpeer.IncarnationError
	if errors.As(err, &mismatch) {
		m.e.tracker.MemberGone(member.Incarnation())
		return
	}
	if err != nil {
		m.e.metrics.heartbeatErrors.Inc()
		return
	}
	m.e.tracker.HeartbeatAnswered(member.Incarnation(), sentAt, answer.Version)
	if answer.Version > m.e.tracker.State().Version() {
		m.fetch(ctx, member)
	}
}

// fetch installs the State of a member that has a newer one.
func (m *membership) fetch(ctx context.Context, member tmfleet.Member) {
	state, err := m.e.node.Fetch(ctx, member)
	if err != nil {
		m.e.log.Debug("state not fetched", "member", member.Name(), "error", err)
		return
	}
	m.e.install(state)
}

// push sends the installed State to all peers and waits for their answers,
// which acknowledge it.
func (m *membership) push(ctx context.Context) {
	state := m.e.tracker.State()
	var calls sync.WaitGroup
	for _, member := range peersOf(state, m.e.self.Incarnation()) {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
			defer cancel()
			sentAt := m.e.clock.Now()
			version, err := m.e.node.Push(callCtx, member, state)
			var mismatch *tmpeer.IncarnationError
			switch {
			case errors.As(err, &mismatch):
				m.e.tracker.MemberGone(member.Incarnation())
			case err == nil:
				m.e.tracker.HeartbeatAnswered(member.Incarnation(), sentAt, version)
			}
		})
	}
	calls.Wait()
}

// install installs a State from any source. It has no effect unless the State
// is newer than the installed one.
func (e *Entry) install(state tmfleet.State) {
	if !e.tracker.Install(state) {
		return
	}
	e.tables.install(e.tracker.State())
	e.leases.sync(e.tracker.State())
	e.runs.setMembers(state.Members().Len())
	e.moves.Observe(state)
	e.metrics.version.Set(float64(state.Version()))
	e.log.Debug("state installed", "version", state.Version())
}
