package tmnodesettings_test

import (
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmini"
	"turmericmoor/io/tmnodesettings"
)

const complete = `[node]
name = n1
zone = z
cores = 0.4
[listen]
callers = 127.0.0.1:1
health = 127.0.0.1:2
[store]
address = 127.0.0.1:3
across = true
row_bytes = 32768
[instances]
address =
[bounds]
lease_max_ms = 4000
key_withdrawn_ms = 5000
unheard_of = 7
`

func TestSettings(t *testing.T) {
	s, err := tmnodesettings.Parse("x.ini", []byte(complete))
	assert.NilError(t, err)
	assert.Equal(t, s.Name(), "n1")
	assert.Equal(t, s.Resources().Cores, 0.4)
	assert.Equal(t, s.KeyWithdrawn(), 5*time.Second)
	assert.Equal(t, s.Instances(), "")
	// The lease is capped at lease_max_ms, the longest that endpoints grant.
	assert.Equal(t, s.Bounds().Lease, 4000*tmclock.Millisecond)
	assert.Equal(t, s.Bounds().RowBytes, 32768)
	// A bound that the settings don't give has its default.
	assert.Equal(t, s.Bounds().HandoverDelay, 3000*tmclock.Millisecond)
	// Settings of a newer installation may have keys that this version doesn't know.
	assert.DeepEqual(t, s.Unknown(), []string{"bounds.unheard_of"})
}

// Guards against an error that leaves out an invalid setting, or its key, its value
// or the expected form.
func TestInvalidSettings(t *testing.T) {
	text := strings.NewReplacer("127.0.0.1:3", "nowhere", "name = n1", "name =", "across = true", "across = maybe", "row_bytes = 32768", "row_bytes = 100").Replace(complete)
	_, err := tmnodesettings.Parse("x.ini", []byte(text))
	var invalid *tmini.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Problems), 4)
	for _, want := range []string{`store.address: is "nowhere", expected IP:port`, "node.name: is missing", `store.across: is "maybe"`, `store.row_bytes: is "100", expected 8192 bytes or more`} {
		assert.ErrorContains(t, err, want)
	}
}

// Guards against a reload that reports no need for a restart although the node keeps its
// old zone or the resources that it has published.
func TestChangesThatNeedARestart(t *testing.T) {
	old, err := tmnodesettings.Parse("x.ini", []byte(complete))
	assert.NilError(t, err)
	for change, canReload := range map[string]bool{
		"lease_max_ms = 3000": true,
		"cores = 0.8":         false,
		"zone = z9":           false,
	} {
		key := strings.Fields(change)[0]
		text := regexp.MustCompile("(?m)^"+key+" = .*$").ReplaceAllString(complete, change)
		assert.Assert(t, text != complete, change)
		changed, err := tmnodesettings.Parse("x.ini", []byte(text))
		assert.NilError(t, err)
		assert.Equal(t, old.CanReload(changed), canReload, change)
	}
}

// Guards against limits that do not follow the machine, and against one that is out of range.
func TestLimitsFollowTheMachine(t *testing.T) {
	machine := strings.Replace(complete, "cores = 0.4", "cores = 0.4\nmemory_mb = 184\nmax_files = 4100", 1)
	s, err := tmnodesettings.Parse("x.ini", []byte(machine))
	assert.NilError(t, err)
	l := s.Limits()
	assert.Equal(t, l.HeaderBytes, 16_384)
	assert.Assert(t, l.Connections+l.Reserved <= 800, "core/tmshard reserves 800 descriptors for callers, the limits are %+v", l)
	assert.Assert(t, int64(l.Connections)*25_000+l.HeaderMemory+l.BodyMemory <= 60_000_000, "%+v", l)
	_, err = tmnodesettings.Parse("x.ini", []byte(machine+"[limits]\njob_steps = 1001\nheader_lines = 0\nconnections = 1.5\n"))
	for _, want := range []string{"limits.job_steps", "limits.header_lines", "limits.connections"} {
		assert.ErrorContains(t, err, want)
	}
}
