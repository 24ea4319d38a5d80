package tmpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

const (
	nonceSize = 32
	// minSecretSize keeps the secret from being guessed offline by somebody
	// who has recorded a handshake.
	minSecretSize = 16
)

// role tells the two proofs of a handshake apart, so that a proof can't be
// sent back to the side that made it.
type role string

const (
	roleDialer   role = "dialer"
	roleListener role = "listener"
)

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails.
	return nonce
}

// prove returns the HMAC by which the side with the given role shows that it
// knows the secret. It covers the names as well as the nonces, so that nobody
// in between can change the incarnation.
func prove(secret []byte, r role, dialer, listener wireHello) []byte {
	mac := hmac.New(sha256.New, secret)
	parts := [][]byte{
		[]byte("turmericmoor peer 1"), []byte(r),
		[]byte(dialer.Entry), []byte(dialer.Incarnation), dialer.Nonce,
		[]byte(listener.Entry), []byte(listener.Incarnation), listener.Nonce,
	}
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func proves(proof, secret []byte, r role, dialer, listener wireHello) bool {
	return hmac.Equal(proof, prove(secret, r, dialer, listener))
}
