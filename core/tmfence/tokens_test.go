package tmfence_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmfence"
)

func ExampleTokens() {
	first := tmfence.NextTerm(0)
	tokens := tmfence.New(first)
	raised, _ := tokens.Raise()
	fmt.Println(raised-first, tmfence.NextTerm(raised)-first)
	// Output: 1 65536
}

// Guards against tokens of an owner that reach those of the next one.
func TestTokensStayWithinTheirTerm(t *testing.T) {
	for _, first := range []int64{0, 7, tmfence.NextTerm(0), tmfence.NextTerm(0) + 1} {
		tokens := tmfence.New(first)
		last, raises := first, 0
		for token, ok := tokens.Raise(); ok; token, ok = tokens.Raise() {
			assert.Equal(t, token, last+1)
			last = token
			raises++
		}
		assert.Assert(t, raises > 0)
		assert.Assert(t, last < tmfence.NextTerm(first))
		assert.Equal(t, tokens.Current(), last)
		assert.Equal(t, tokens.First(), first)
	}
}
