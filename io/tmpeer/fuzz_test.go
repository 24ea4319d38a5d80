package tmpeer

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// handshakeOnSocket runs the dialling side of the handshake on a plain socket.
func handshakeOnSocket(t testing.TB, c net.Conn) {
	local := wireHello{Entry: "hand", Incarnation: "hand-1", Nonce: newNonce()}
	var remote wireHello
	callOnSocket(t, c, methodHello, local, &remote)
	var proof wireProof
	callOnSocket(t, c, methodProve, wireProof{Proof: computeProof(testSecret, roleDialer, local, remote)}, &proof)
	assert.Assert(t, verifyProof(proof.Proof, testSecret, roleListener, local, remote))
}

func callOnSocket(t testing.TB, c net.Conn, method string, params, result any) {
	body, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 1, "method": method, "params": params})
	assert.NilError(t, err)
	assert.NilError(t, writeFrame(c, body))
	answer, err := readFrame(c)
	assert.NilError(t, err)
	var resp struct {
		Result json.RawMessage `json:"result"`
	}
	assert.NilError(t, json.Unmarshal(answer, &resp))
	assert.NilError(t, json.Unmarshal(resp.Result, result))
}

// FuzzFrames sends arbitrary bytes to a node, before and after a handshake. It
// guards against a panic, and against a node that stops serving its peers.
func FuzzFrames(f *testing.F) {
	for _, body := range []string{
		`{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":{"entry":"x","incarnation":"y","nonce":""}}`,
		`{"jsonrpc":"2.0","id":1,"method":"peer.heartbeat","params":{"version":1,"demand":{"cells":[]}}}`,
		`{"jsonrpc":"2.0","id":1,"method":"peer.heartbeat","params":{"demand":{"pools":["p"],"cells":[0,-1,2,3]}}}`,
		`{"jsonrpc":"2.0","id":1,"method":"peer.heartbeat","params":{"demand":{"cells":[1]}}}`,
		`{"jsonrpc":"2.0","id":1,"method":"state.push","params":{"state":{"version":1}}}`,
		`{"jsonrpc":"2.0","id":1,"result":null}`, `{"id":null,"error":{}}`, `[]`, `[{"method":"x"}]`,
	} {
		frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
		f.Add(frame, true)
		f.Add(frame, false)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff}, true)
	f.Add([]byte{0, 0, 0, 0, 0, 0}, false)
	a, ma := start(f, "a", freeAddress(f), nil)
	b, _ := start(f, "b", freeAddress(f), nil)
	f.Fuzz(func(t *testing.T, data []byte, authenticated bool) {
		c, err := net.Dial("tcp", ma.Address())
		assert.NilError(t, err)
		defer closeQuietly(c)
		if authenticated {
			handshakeOnSocket(t, c)
		}
		_, _ = c.Write(data)
		_ = c.(*net.TCPConn).CloseWrite()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.Copy(io.Discard, c)
		var failure net.Error
		timeout := errors.As(err, &failure) && failure.Timeout()
		assert.Assert(t, !timeout, "the connection was not closed")
		assert.NilError(t, heartbeat(b, member("a", a.opts.Listen)))
	})
}
