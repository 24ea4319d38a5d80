package tmsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmini"
)

// minSecretLength makes it infeasible to guess a peer secret.
const minSecretLength = 32

// Limits of durations, counts and sizes. minSpan rejects a value that was meant
// in seconds but written in ms, with which every call would fail.
const (
	minSpan  = 10 * tmclock.Millisecond
	maxSpan  = 10 * tmclock.Minute
	maxCount = 1_000_000
	megabyte = 1_000_000
	maxSize  = 16_000 * megabyte
)

// requirePort makes reader.address reject port 0, because other processes have to
// know the port.
const (
	anyPort     = false
	requirePort = true
)

// reader reads values from the entries of a file and collects the problems.
type reader struct {
	file     string
	dir      string
	entries  map[string]tmini.Entry
	order    []string
	known    []string
	problems []Problem
}

func newReader(file, dir string, entries []tmini.Entry) *reader {
	r := &reader{file: file, dir: dir, entries: make(map[string]tmini.Entry, len(entries))}
	for _, e := range entries {
		r.entries[e.Name()] = e
		r.order = append(r.order, e.Name())
	}
	return r
}

// get returns the value of a key and reports whether it is set and not empty.
func (r *reader) get(section, key string) (string, bool) {
	name := section + "." + key
	r.known = append(r.known, name)
	e, ok := r.entries[name]
	return e.Value, ok && e.Value != ""
}

func (r *reader) addProblem(section, key, message, expected string) {
	name := section + "." + key
	r.problems = append(r.problems, Problem{
		File:     r.file,
		Line:     r.entries[name].Line,
		Field:    name,
		Message:  message,
		Expected: expected,
	})
}

// require returns the value of a key without a default. A missing key is a
// problem.
func (r *reader) require(section, key, expected string) (string, bool) {
	value, ok := r.get(section, key)
	if !ok {
		r.addProblem(section, key, "is missing", expected)
	}
	return value, ok
}

func (r *reader) rejectUnknown() {
	for _, name := range r.order {
		e := r.entries[name]
		if slices.Contains(r.known, name) || (e.Key == "" && r.isKnownSection(e.Section)) {
			continue
		}
		r.problems = append(r.problems, Problem{
			File:     r.file,
			Line:     e.Line,
			Field:    name,
			Message:  "is not known",
			Expected: r.expectedNames(e.Section),
		})
	}
}

func (r *reader) isKnownSection(section string) bool {
	return slices.ContainsFunc(r.known, func(name string) bool {
		return strings.HasPrefix(name, section+".")
	})
}

// expectedNames returns the Expected text of an unknown key: the keys of its
// section, or the known sections if the section is unknown.
func (r *reader) expectedNames(section string) string {
	var keys, sections []string
	for _, name := range r.known {
		s, key, _ := strings.Cut(name, ".")
		if s == section {
			keys = append(keys, key)
		}
		sections = append(sections, "["+s+"]")
	}
	slices.Sort(keys)
	slices.Sort(sections)
	if len(keys) > 0 {
		return "one of " + strings.Join(slices.Compact(keys), ", ")
	}
	return "a key in one of " + strings.Join(slices.Compact(sections), ", ")
}

func (r *reader) name(section, key string) string {
	expected := "a name of " + tmchange.NameForm()
	value, ok := r.require(section, key, expected)
	if ok && !tmchange.ValidName(value) {
		r.addProblem(section, key, fmt.Sprintf("%q is not a valid name", value), expected)
	}
	return value
}

func (r *reader) level(section, key string, fallback log.Level) log.Level {
	value, ok := r.get(section, key)
	if !ok {
		return fallback
	}
	level, err := log.ParseLevel(value)
	if err != nil || level > log.ErrorLevel {
		r.addProblem(section, key, fmt.Sprintf("unknown level %q", value), "debug, info, warn or error")
	}
	return level
}

func (r *reader) listener(section string) Listener {
	l := Listener{
		listenAddress: r.address(section, "listen", anyPort),
		certFile:      r.path(section, "tls_cert"),
		keyFile:       r.path(section, "tls_key"),
	}
	if l.certFile != "" && l.keyFile == "" {
		r.addProblem(section, "tls_key", "is missing", "the key file of tls_cert")
	}
	if l.keyFile != "" && l.certFile == "" {
		r.addProblem(section, "tls_cert", "is missing", "the certificate file of tls_key")
	}
	return l
}

func (r *reader) path(section, key string) string {
	value, ok := r.get(section, key)
	if !ok || filepath.IsAbs(value) {
		return value
	}
	return filepath.Join(r.dir, value)
}

func (r *reader) address(section, key string, port bool) string {
	expected := "IP:port, for example 10.0.1.7:8400"
	value, ok := r.require(section, key, expected)
	if !ok {
		return ""
	}
	ap, err := netip.ParseAddrPort(value)
	if err != nil {
		r.addProblem(section, key, fmt.Sprintf("%q is not a valid address", value), expected)
		return ""
	}
	if port && ap.Port() == 0 {
		r.addProblem(section, key, "has port 0", "a port from 1 to 65535")
	}
	return value
}

// advertise returns the address for peers, which defaults to the address of the
// listener.
func (r *reader) advertise(listen string) string {
	expected := "the IP:port at which other entries reach this one"
	if value, ok := r.get("peers", "advertise"); ok {
		listen = value
		r.address("peers", "advertise", requirePort)
	}
	ap, err := netip.ParseAddrPort(listen)
	if err == nil && ap.Addr().IsUnspecified() {
		r.addProblem("peers", "advertise", fmt.Sprintf("%s is not the address of a single host", ap.Addr()), expected)
	}
	return listen
}

func (r *reader) hash(section, key string) string {
	expected := "the SHA-256 of the operator key as 64 lower-case hex digits"
	value, ok := r.require(section, key, expected)
	if ok && !tmchange.ValidHash(value) {
		r.addProblem(section, key, "has the wrong form", expected)
	}
	return value
}

func (r *reader) url(section, key string) string {
	expected := "an http or https URL with an IP, for example http://10.0.0.5:8080"
	value, ok := r.require(section, key, expected)
	if !ok {
		return ""
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		r.addProblem(section, key, fmt.Sprintf("%q is not a valid URL", value), expected)
		return ""
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		r.addProblem(section, key, fmt.Sprintf("host %q is not an IP", u.Hostname()), expected)
	}
	return strings.TrimRight(value, "/")
}

// timeoutsSection is the section that holds all durations.
const timeoutsSection = "timeouts"

func (r *reader) span(key string, fallback tmclock.Span) tmclock.Span {
	value, ok := r.get(timeoutsSection, key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	span := tmclock.SpanOf(d)
	if err != nil || span < minSpan || span > maxSpan {
		expected := fmt.Sprintf("a duration with its unit from %s to %s, for example %s", minSpan.Duration(), maxSpan.Duration(), fallback.Duration())
		r.addProblem(timeoutsSection, key, fmt.Sprintf("%q is not a valid duration", value), expected)
	}
	return span
}

func (r *reader) count(section, key string, fallback int) int {
	value, ok := r.get(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 || n > maxCount {
		r.addProblem(section, key, fmt.Sprintf("%q is not a valid number", value), fmt.Sprintf("a whole number from 1 to %d", maxCount))
	}
	return n
}

// sizeUnits lists longer suffixes first, because all of them end in "B".
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"kB", 1_000},
	{"MB", megabyte},
	{"GB", 1_000 * megabyte},
	{"B", 1},
}

func (r *reader) size(section, key string, fallback int64) int64 {
	value, ok := r.get(section, key)
	if !ok {
		return fallback
	}
	n, ok := parseSize(value)
	if !ok {
		r.addProblem(section, key, fmt.Sprintf("%q is not a valid size", value), "a size with its unit from 1B to 16GB, for example 64MB or 64MiB")
	}
	return n
}

func parseSize(value string) (int64, bool) {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(value, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 1 || n > maxSize/u.bytes {
			return 0, false
		}
		return n * u.bytes, true
	}
	return 0, false
}

// secret returns the peer secret, which is given either as a value or as a file.
func (r *reader) secret() string {
	expected := fmt.Sprintf("either secret or secret_file, with at least %d characters", minSecretLength)
	value, inline := r.get("peers", "secret")
	path := r.path("peers", "secret_file")
	if inline == (path != "") {
		r.addProblem("peers", "secret", "is needed exactly once", expected)
		return ""
	}
	key := "secret"
	if !inline {
		key = "secret_file"
		var err error
		if value, err = readSecret(path); err != nil {
			r.addProblem("peers", key, err.Error(), "a file that the entry can read")
			return ""
		}
	}
	if len(value) < minSecretLength {
		r.addProblem("peers", key, fmt.Sprintf("has %d characters", len(value)), expected)
	}
	return value
}

// maxSecretSize is the largest secret file in bytes.
const maxSecretSize = 4096

func readSecret(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if !info.Mode().IsRegular() || info.Size() > maxSecretSize {
		return "", fmt.Errorf("%s is not a regular file of at most %d bytes", path, maxSecretSize)
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}
