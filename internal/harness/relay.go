package harness

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay passes connections on to an address and counts their bytes in both
// directions.
type relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
	passes sync.WaitGroup
}

func newRelay(listen, target string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("harness: relay: %w", err)
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	r.passes.Go(r.accept)
	return r, nil
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		if !r.keep(in, out) {
			return
		}
		r.passes.Go(func() { r.pass(in, out) })
		r.passes.Go(func() { r.pass(out, in) })
	}
}

// keep remembers connections for close. It closes them when the relay is
// closed already.
func (r *relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if r.closed {
			_ = c.Close()
		}
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

// pass copies one direction and ends both when it ends.
func (r *relay) pass(to, from net.Conn) {
	_, _ = io.Copy(countingWriter{to, &r.bytes}, from)
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, to)
	delete(r.conns, from)
}

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.passes.Wait()
}

type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

// Write writes and counts.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// PeerBytes returns the bytes on all connections between entries, and
// PlatformBytes those between entries and the platform, since the start. Both
// are 0 unless Layout.CountBytes is set.
func (f *Fleet) PeerBytes() int64 { return sumBytes(f.peerRelays) }

// PlatformBytes is described at PeerBytes.
func (f *Fleet) PlatformBytes() int64 { return sumBytes(f.platformRelays) }

func sumBytes(relays []*relay) int64 {
	sum := int64(0)
	for _, r := range relays {
		sum += r.bytes.Load()
	}
	return sum
}

// addRelays puts a relay before the peer listener of an entry and one between
// it and the platform. It returns their addresses.
func (f *Fleet) addRelays(peerAddress string) (advertise, platform string, err error) {
	port, err := f.ports.take(2)
	if err != nil {
		return "", "", err
	}
	advertise, platform = f.ports.address(port), f.ports.address(port+1)
	peers, err := newRelay(advertise, peerAddress)
	if err != nil {
		return "", "", err
	}
	f.peerRelays = append(f.peerRelays, peers)
	tables, err := newRelay(platform, f.platformURL[len("http://"):])
	if err != nil {
		return "", "", err
	}
	f.platformRelays = append(f.platformRelays, tables)
	return advertise, platform, nil
}

func (f *Fleet) closeRelays() {
	for _, r := range append(f.peerRelays, f.platformRelays...) {
		r.close()
	}
}
