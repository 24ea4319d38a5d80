package tmcodec_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/io/tmcodec"
)

var allChanges = []tmchange.Change{
	tmchange.AddZone{Name: "z", Region: "r"},
	tmchange.ZoneOut{Name: "z"},
	tmchange.ZoneIn{Name: "z"},
	tmchange.AddPool{Name: "p", MaxUnavailable: 0},
	tmchange.RemovePool{Name: "p"},
	tmchange.SetBudget{Pool: "p", MaxUnavailable: 2},
	tmchange.AddQueue{Name: "q", Pool: "p", Open: true, Team: "t"},
	tmchange.RemoveQueue{Name: "q"},
	tmchange.AddTeam{Name: "t", Share: 1, Limit: 2, Urgent: true},
	tmchange.RemoveTeam{Name: "t"},
	tmchange.SetShare{Team: "t", Share: 3},
	tmchange.SetLimit{Team: "t", Limit: 4},
	tmchange.GrantKey{Hash: "h", Team: "t", Label: "l"},
	tmchange.WithdrawKey{Label: "l"},
	tmchange.AddInstance{Name: "i", Address: "a", Zone: "z", Rack: "k", Pool: "p", Slots: 8},
	tmchange.RemoveInstance{Name: "i"},
	tmchange.MoveInstance{Name: "i", To: "p"},
	tmchange.FinishMove{Name: "i"},
	tmchange.MarkLeaving{Name: "i"},
	tmchange.MarkDraining{Name: "i"},
	tmchange.MarkRebooting{Name: "i"},
	tmchange.MarkServing{Name: "i"},
}

// Guards against a field of a change that is lost between the command line and the
// entry.
func TestChangesRoundTrip(t *testing.T) {
	data, err := tmcodec.EncodeChanges(allChanges)
	assert.NilError(t, err)
	decoded, err := tmcodec.DecodeChanges(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, allChanges)
}

// Guards against panics, errors other than tmchange.InvalidError, and decoded
// changes that can't be encoded again.
func FuzzDecodeChanges(f *testing.F) {
	data, err := tmcodec.EncodeChanges(allChanges)
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`[null,{"op":null}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := tmcodec.DecodeChanges(data)
		if err != nil {
			var invalid *tmchange.InvalidError
			assert.Assert(t, errors.As(err, &invalid))
			return
		}
		_, err = tmcodec.EncodeChanges(changes)
		assert.NilError(t, err)
	})
}
