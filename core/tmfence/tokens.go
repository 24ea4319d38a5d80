// Package tmfence hands out the fencing tokens of an owner.
//
// A fencing token orders the callers of an endpoint: an endpoint carries out nothing that
// has a lower token than the highest it has seen. Each owner has a higher token than the one
// before. An endpoint that starts again under its id has seen no token, and calls that were
// meant for its previous lifetime may still arrive. So the owner raises its own token as well
// whenever a lifetime has ended. The first call with the new token shuts out the earlier ones.
package tmfence

// termSize is the number of tokens that an owner can use. An owner of an earlier version,
// which adds 1 to the token before, stays below the next term.
const termSize = 1 << 16

// NextTerm returns the first token of the owner that follows one with the given token.
func NextTerm(token int64) int64 { return (token/termSize + 1) * termSize }

// Tokens are the tokens of one owner. They are not safe for concurrent use.
type Tokens struct{ first, current int64 }

// New returns the tokens of an owner that was elected with the given token.
func New(first int64) Tokens { return Tokens{first: first, current: first} }

// First returns the token that the owner was elected with.
func (t *Tokens) First() int64 { return t.first }

// Current returns the highest token that the owner uses so far.
func (t *Tokens) Current() int64 { return t.current }

// Raise returns a token that is higher than all before. It reports false if the tokens of
// the owner are used up.
func (t *Tokens) Raise() (int64, bool) {
	if t.current+1 >= NextTerm(t.first) {
		return t.current, false
	}
	t.current++
	return t.current, true
}
