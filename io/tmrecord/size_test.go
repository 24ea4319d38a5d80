package tmrecord_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmjob"
	"turmericmoor/io/tmrecord"
)

// drawProgress draws progress with long texts that need escapes, and large numbers.
func drawProgress(t *rapid.T) tmjob.Progress {
	number := rapid.IntRange(0, 1<<62)
	text := rapid.StringN(0, 60, 200)
	p := tmjob.Progress{ID: "j"}
	for range rapid.IntRange(0, 5).Draw(t, "ranges") {
		first := number.Draw(t, "first")
		p.Done = append(p.Done, tmjob.OccurrenceRange{First: first, Last: first + 1})
	}
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		rec := tmjob.TaskRecord{
			Occurrence: number.Draw(t, "occurrence"), Step: number.Draw(t, "step"), Index: number.Draw(t, "index"),
			Runs: number.Draw(t, "runs"), Failures: number.Draw(t, "failures"), Crashes: number.Draw(t, "crashes"),
			Suspicions: number.Draw(t, "suspicions"), Done: rapid.Bool().Draw(t, "done"), Checkpoint: text.Draw(t, "checkpoint"),
		}
		rec.Begun = !rec.Done && rapid.Bool().Draw(t, "begun")
		for range rapid.IntRange(0, 3).Draw(t, "placements") {
			rec.Placements = append(rec.Placements, tmjob.Placement{
				Run: number.Draw(t, "run"), Endpoint: text.Draw(t, "endpoint"), EndpointStart: int64(number.Draw(t, "start")),
				Isolated: true, Lapsed: true,
			})
		}
		p.Tasks = append(p.Tasks, rec)
	}
	return p
}

// Guards against a row that is larger than the owner expects: it would be refused. Size has
// to be an upper bound whatever the texts hold.
func TestSizeBoundsTheRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		row := tmrecord.EncodeProgress(p)
		if len(row) > p.Size() {
			t.Fatalf("%d bytes, Size is %d: %s", len(row), p.Size(), row)
		}
		maxBytes := rapid.IntRange(0, 2000).Draw(t, "maxBytes")
		dropped := p.DropCheckpoints(maxBytes)
		if left := p.Size(); left > maxBytes {
			for _, rec := range p.Tasks {
				assert.Equal(t, rec.Checkpoint, "", "%d dropped", dropped)
			}
		}
	})
}

// Guards against progress that changes on its way through a row.
func TestProgressIsDecodedAsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		decoded, err := tmrecord.DecodeProgress("j", tmrecord.EncodeProgress(p))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, p)
	})
}

// Guards against rows of earlier versions that are not read any more: they had a record of
// step -1 for each occurrence that was done.
func TestRowsOfEarlierVersionsAreRead(t *testing.T) {
	p, err := tmrecord.DecodeProgress("j", []byte(`{"t":[{"k":2,"s":-1,"d":true},{"k":3,"n":1,"c":"x","p":[{"r":1,"e":"e1","b":5}]}]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, p, tmjob.Progress{
		ID: "j", Done: []tmjob.OccurrenceRange{{First: 2, Last: 2}},
		Tasks: []tmjob.TaskRecord{{Occurrence: 3, Runs: 1, Checkpoint: "x", Placements: []tmjob.Placement{{Run: 1, Endpoint: "e1", EndpointStart: 5}}}},
	})
}
