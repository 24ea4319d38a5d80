// Package tmaccess has the part of the configuration that decides who may call
// which queue: routes and keys. A Table is immutable and safe for concurrent
// use.
package tmaccess

import (
	"sort"
	"strings"
)

// Route leads calls to a queue.
type Route struct {
	// Queue is the name of the queue.
	Queue string
	// Host is compared without regard to case, Prefix is the start of the path.
	Host, Prefix string
	// Open says that calls need no key.
	Open bool
}

// Table is a compiled configuration.
type Table struct {
	version   int64
	bodyBytes int64
	byHost    map[string][]Route
	teams     map[string]string
}

// NewTable compiles routes and keys. keys maps each key to its team.
func NewTable(version int64, routes []Route, keys map[string]string, bodyBytes int64) *Table {
	t := &Table{version: version, bodyBytes: bodyBytes, byHost: map[string][]Route{}, teams: keys}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// BodyBytes returns the largest body of a call in bytes.
func (t *Table) BodyBytes() int64 { return t.bodyBytes }

// Match returns the route with the longest prefix of the path, and the rest of
// the path.
func (t *Table) Match(host, path string) (Route, string, bool) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}

// Team returns the team of a key.
func (t *Table) Team(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	team, ok := t.teams[key]
	return team, ok
}
