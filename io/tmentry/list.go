package tmentry

import (
	"context"

	"turmericmoor/io/tmplatform"
)

// instanceList is the platform's list of instances as of the last read.
type instanceList struct {
	// known is set once the list has been read.
	known bool
	rows  map[string]tmplatform.Instance
	// seen has every name that was ever listed. An instance counts as gone only
	// if it was listed before.
	seen map[string]bool
}

func newInstanceList() *instanceList {
	return &instanceList{rows: map[string]tmplatform.Instance{}, seen: map[string]bool{}}
}

func (l *instanceList) replace(rows []tmplatform.Instance) {
	l.known = true
	clear(l.rows)
	for _, row := range rows {
		l.rows[row.Name] = row
		l.seen[row.Name] = true
	}
}

// live reports whether the instance is listed and not leaving. Before the first
// read of the list every instance counts as live.
func (l *instanceList) live(name string) bool {
	row, ok := l.rows[name]
	if !ok {
		return !l.known
	}
	return !row.Leaving
}

// liveLocked reports whether the platform's list permits work at an instance.
func (t *tables) liveLocked(name string) bool {
	return t.e.disabled.list.Load() || t.list.live(name)
}

// gone reports whether the instance was listed before and is no longer.
func (l *instanceList) gone(name string) bool {
	_, listed := l.rows[name]
	return l.seen[name] && !listed
}

// readInstanceList reads the platform's list. When the read fails, the last
// list stays in use.
func (e *Entry) readInstanceList(ctx context.Context) {
	rows, err := e.platform.Instances(ctx)
	if err != nil {
		e.metrics.platformErrors.Inc()
		return
	}
	state := e.tracker.State()
	t := e.tables
	t.mu.Lock()
	t.list.replace(rows)
	var gone []string
	for _, member := range peersOf(state, e.self.Incarnation()) {
		if t.list.gone(member.Name()) {
			gone = append(gone, member.Incarnation())
		}
	}
	t.updateEndpointsLocked()
	t.mu.Unlock()
	for _, incarnation := range gone {
		e.tracker.MemberGone(incarnation)
	}
}
