package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a timed job whose start lies long ago: all its occurrences became due at
// once and held up the jobs of the queue. Later ones follow as earlier ones end.
func TestFewOccurrencesAreOpenAtOnce(t *testing.T) {
	f := newFixture(t, 4)
	j := oneTask("j")
	j.Repeats, j.Interval, j.StartAt = 400, 1, 1
	f.c.Submitted(j)
	starts := f.advance(1000)
	assert.Equal(t, len(f.c.jobs["j"].occurrences), maxOpenOccurrences)
	assert.Assert(t, len(starts) > 0)
	first := starts[0].Ref
	f.c.Started(first, Accepted, f.now)
	f.end(first.Endpoint, first.Task, first.Run, EndDone)
	f.advance(100)
	assert.Equal(t, len(f.c.jobs["j"].occurrences), maxOpenOccurrences+1)
}
