package tmpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

const (
	nonceSize = 32
	// minSecretSize makes it impractical to guess the secret offline from a
	// recorded handshake.
	minSecretSize = 16
)

// role distinguishes the two proofs of a handshake, so that a proof can't be
// reflected to the side that computed it.
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

// computeProof returns the HMAC with which the side of the given role proves that
// it knows the secret. The HMAC covers the names and incarnations as well as the
// nonces, so that a man in the middle can't change the incarnation.
func computeProof(secret []byte, r role, dialer, listener wireHello) []byte {
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

func verifyProof(proof, secret []byte, r role, dialer, listener wireHello) bool {
	return hmac.Equal(proof, computeProof(secret, r, dialer, listener))
}
