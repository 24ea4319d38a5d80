package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericmoor/internal/harness"
)

// options holds parsed key=value arguments. err keeps the first invalid value.
type options struct {
	values map[string]string
	err    error
}

func parseOptions(args []string, known ...string) (*options, error) {
	o := &options{values: map[string]string{}}
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		if !found || !slices.Contains(known, key) {
			return nil, fmt.Errorf("invalid argument %q, expected key=value with one of the keys %s", arg, strings.Join(known, ", "))
		}
		o.values[key] = value
	}
	return o, nil
}

func (o *options) text(key, fallback string) string {
	if value, found := o.values[key]; found {
		return value
	}
	return fallback
}

func option[T any](o *options, key string, fallback T, parse func(string) (T, error)) T {
	text, found := o.values[key]
	if !found {
		return fallback
	}
	value, err := parse(text)
	if err != nil && o.err == nil {
		o.err = fmt.Errorf("%s=%q: %w", key, text, err)
	}
	return value
}

func (o *options) number(key string, fallback int) int {
	return option(o, key, fallback, strconv.Atoi)
}

func (o *options) flag(key string, fallback bool) bool {
	return option(o, key, fallback, strconv.ParseBool)
}

func (o *options) duration(key string, fallback time.Duration) time.Duration {
	return option(o, key, fallback, time.ParseDuration)
}

// entry returns the entry with the given name and its number, counted from 1.
func (r *run) entry(name string) (*harness.Entry, int, error) {
	for i, e := range r.fleet.Entries() {
		if e.Name == name {
			return e, i + 1, nil
		}
	}
	return nil, 0, fmt.Errorf("no entry %q, expected entry-1 to entry-%d", name, len(r.fleet.Entries()))
}

// endpointAt returns the endpoint with a name such as ep-1.
func (r *run) endpointAt(name string) (*harness.Endpoint, error) {
	list := r.fleet.Endpoints()
	digits, found := strings.CutPrefix(name, "ep-")
	n, err := strconv.Atoi(digits)
	if !found || err != nil || n < 1 || n > len(list) {
		return nil, fmt.Errorf("no endpoint %q, expected ep-1 to ep-%d", name, len(list))
	}
	return list[n-1], nil
}

func running(e *harness.Entry) bool {
	return e.Process() != nil && e.Process().Running()
}

// logTailBytes bounds the part of each log that a failed script prints.
const logTailBytes = 1500

// diagnostics returns the state of the entries, the ends of their logs and the rows
// of the slice table. It quotes the logs because their directory is removed after
// the script.
func (r *run) diagnostics() string {
	var b strings.Builder
	for i, e := range r.fleet.Entries() {
		if running(e) {
			fmt.Fprintf(&b, "%s: %s\n", e.Name, r.status(i+1))
		}
		data, err := os.ReadFile(r.fleet.LogFile(e.Name))
		if err != nil || len(data) == 0 {
			continue
		}
		fmt.Fprintf(&b, "log of %s:\n%s\n", e.Name, data[max(0, len(data)-logTailBytes):])
	}
	b.WriteString("slices: " + r.sliceRows() + "\n")
	return b.String()
}

// sliceRows returns the rows of the platform's slice table as text.
func (r *run) sliceRows() string {
	resp, err := http.Get(r.fleet.PlatformURL() + "/v1/control/rows/slice")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// status summarizes the state dump of an entry in one line.
func (r *run) status(number int) string {
	ctx, cancel := context.WithTimeout(r.ctx, healthTimeout)
	defer cancel()
	d, err := r.fleet.Dump(ctx, number)
	if err != nil {
		return err.Error()
	}
	slots, busy := 0, 0
	for _, l := range d.Leases {
		slots += l.Slots
		busy += l.Running
	}
	return fmt.Sprintf("fresh %t, version %d, in force %d, %d members, %d open requests, %d of %d slots busy, units %+v",
		d.Fresh, d.Version, d.InForce, len(d.Members), d.OpenRequests, busy, slots, d.Slices)
}
