package tmrecord_test

import (
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmadmit"
	"turmericmoor/io/tmrecord"
)

// Guards against backlogs that change on their way through the row of an owner.
func TestBacklogsAreDecodedAsEncoded(t *testing.T) {
	o := tmrecord.Owner{Holder: "n", Token: 3, Backlogs: map[string]tmadmit.Backlog{
		"q": {Wait: 12_250, Work: 196_000, Drain: 15.999, Run: 812, Teams: []string{"", "t"}}, "r": {Wait: 600, Work: 1, Drain: 0.5},
	}}
	got, err := tmrecord.DecodeOwner(tmrecord.EncodeOwner(o))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, o)
}

// Guards against a row that grows with the number of queues, and against one that leaves out the
// longest waits.
func TestRowOfAnOwnerListsTheLongestWaits(t *testing.T) {
	for _, prefix := range []string{"q", strings.Repeat("long", 40), strings.Repeat("<", 80)} {
		o := tmrecord.Owner{Holder: "n", Token: 3, Backlogs: map[string]tmadmit.Backlog{}}
		without := len(tmrecord.EncodeOwner(o))
		for i := range 500 {
			o.Backlogs[fmt.Sprintf("%s%d", prefix, i)] = tmadmit.Backlog{Wait: 600_000 + float64(i), Work: 123_456_789, Drain: 1234.567, Run: 12_345}
		}
		row := tmrecord.EncodeOwner(o)
		assert.Assert(t, len(row) < without+4096, "%d bytes", len(row))
		got, err := tmrecord.DecodeOwner(row)
		assert.NilError(t, err)
		n := len(got.Backlogs)
		assert.Assert(t, n > 4 && n <= 64, "%d queues", n)
		for i := 500 - n; i < 500; i++ {
			assert.Assert(t, got.Backlogs[fmt.Sprintf("%s%d", prefix, i)].Wait > 0)
		}
	}
}

// Guards against a queue whose teams don't fit into the row and which leaves out all others.
func TestRowOfAnOwnerLeavesOutWhatDoesNotFit(t *testing.T) {
	o := tmrecord.Owner{Holder: "n", Token: 3, Backlogs: map[string]tmadmit.Backlog{"q": {Wait: 600, Work: 1, Drain: 1}, "r": {Wait: 700, Work: 1, Drain: 1}}}
	want := maps.Clone(o.Backlogs)
	large := tmadmit.Backlog{Wait: 650, Work: 1, Drain: 1}
	for i := range 500 {
		large.Teams = append(large.Teams, fmt.Sprint("team", i))
	}
	o.Backlogs["large"] = large
	large.Wait = 40_000
	o.Backlogs["larger"] = large
	row := tmrecord.EncodeOwner(o)
	assert.Assert(t, len(row) < 4096, "%d bytes", len(row))
	got, err := tmrecord.DecodeOwner(row)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Backlogs, want)
}

// Guards against nodes that don't know the owner any more, and against a row that can't be
// written, because of nonsense about backlogs.
func TestNonsenseAboutBacklogsLeavesTheOwnerReadable(t *testing.T) {
	for _, k := range []string{`7`, `"x"`, `{"q":[1]}`, `{"q":{"w":1e999}}`, `{"q":{"w":"NaN"}}`, `null`} {
		o, err := tmrecord.DecodeOwner([]byte(`{"h":"n","t":3,"b":9,"k":` + k + `}`))
		assert.NilError(t, err, k)
		assert.DeepEqual(t, o, tmrecord.Owner{Holder: "n", Token: 3, Renewals: 9})
	}
	row := tmrecord.EncodeOwner(tmrecord.Owner{Holder: "n", Token: 3, Backlogs: map[string]tmadmit.Backlog{
		"nan": {Wait: math.NaN()}, "inf": {Wait: math.Inf(1)}, "huge": {Wait: 1, Work: math.Inf(1)},
	}})
	o, err := tmrecord.DecodeOwner(row)
	assert.NilError(t, err)
	assert.DeepEqual(t, o, tmrecord.Owner{Holder: "n", Token: 3})
}
