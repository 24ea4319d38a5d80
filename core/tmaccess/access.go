// Package tmaccess has the part of the configuration that controls access to
// queues: routes and keys. A Table is immutable and safe for concurrent use.
package tmaccess

import (
	"sort"
	"strings"
)

// Route maps a host and a path prefix to a queue.
type Route struct {
	// Queue is the name of the queue.
	Queue string
	// Host is case-insensitive, Prefix is a prefix of the path.
	Host, Prefix string
	// Open permits calls without a key.
	Open bool
}

// Table is a configuration compiled for lookups by host, path and key.
type Table struct {
	version      int64
	maxBodyBytes int64
	routesByHost map[string][]Route
	teamByKey    map[string]string
}

// NewTable returns a Table of the given routes and keys. The map keys has the
// team of each key. The Table keeps the map, so the caller must not change it.
func NewTable(version int64, routes []Route, keys map[string]string, maxBodyBytes int64) *Table {
	t := &Table{version: version, maxBodyBytes: maxBodyBytes, routesByHost: map[string][]Route{}, teamByKey: keys}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// MaxBodyBytes returns the largest permitted body of a call in bytes.
func (t *Table) MaxBodyBytes() int64 { return t.maxBodyBytes }

// Match returns the route of the host whose prefix is the longest that matches
// the path, and the rest of the path. It returns false when no route matches.
func (t *Table) Match(host, path string) (Route, string, bool) {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}

// Team returns the team of a key and whether the key is known.
func (t *Table) Team(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	team, ok := t.teamByKey[key]
	return team, ok
}
