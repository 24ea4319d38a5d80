package harness

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes connections on to an address and counts their bytes in both
// directions. It can hold bytes back, as a broken network does.
type Relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64

	mu     sync.Mutex
	closed bool
	fault  RelayFault
	// changed is closed when the fault changes, or the relay is closed.
	changed chan struct{}
	// muted connections deliver nothing any more.
	conns, muted map[net.Conn]struct{}
	passes       sync.WaitGroup
}

// RelayFault is what a relay does to bytes.
type RelayFault struct {
	// Delay is added to each block of bytes.
	Delay time.Duration
	// HoldIn holds back what comes from clients, HoldOut what goes to them, until the
	// fault is over.
	HoldIn, HoldOut bool
}

// NewRelay starts a relay.
func NewRelay(listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("harness: relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}, muted: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	r.passes.Go(r.accept)
	return r, nil
}

func (r *Relay) accept() {
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
		r.passes.Go(func() { r.pass(in, out, false) })
		r.passes.Go(func() { r.pass(out, in, true) })
	}
}

// keep remembers connections for close. It closes them when the relay is
// closed already.
func (r *Relay) keep(conns ...net.Conn) bool {
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

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault replaces the present fault.
func (r *Relay) SetFault(f RelayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset breaks all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Mute makes the connections that are open now deliver nothing any more, without
// closing them.
func (r *Relay) Mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.muted[c] = struct{}{}
	}
}

// hold waits while bytes of a connection are held back. It reports false when the
// relay is closed.
func (r *Relay) hold(to net.Conn, in bool) bool {
	for {
		r.mu.Lock()
		f, changed, closed := r.fault, r.changed, r.closed
		_, muted := r.muted[to]
		r.mu.Unlock()
		if closed {
			return false
		}
		if !muted && (in && !f.HoldIn || !in && !f.HoldOut) {
			if f.Delay > 0 {
				time.Sleep(f.Delay)
			}
			return true
		}
		<-changed
	}
}

// pass copies one direction and ends both when it ends. in says that the bytes come
// from the client.
func (r *Relay) pass(to, from net.Conn, in bool) {
	block := make([]byte, 32<<10)
	for {
		n, err := from.Read(block)
		if n > 0 {
			if !r.hold(to, in) {
				break
			}
			r.bytes.Add(int64(n))
			if _, err := to.Write(block[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range []net.Conn{to, from} {
		delete(r.conns, c)
		delete(r.muted, c)
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	close(r.changed)
	r.changed = make(chan struct{})
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.passes.Wait()
}

// PeerBytes returns the bytes on all connections between entries, and
// PlatformBytes those between entries and the platform, since the start. Both
// are 0 unless Layout.CountBytes is set.
func (f *Fleet) PeerBytes() int64 { return sumBytes(f.peerRelays) }

// PlatformBytes is described at PeerBytes.
func (f *Fleet) PlatformBytes() int64 { return sumBytes(f.platformRelays) }

func sumBytes(relays []*Relay) int64 {
	sum := int64(0)
	for _, r := range relays {
		sum += r.bytes.Load()
	}
	return sum
}

// addRelays puts a relay before the peer listener of an entry and one between
// it and the platform. It returns their addresses.
func (f *Fleet) addRelays(peerAddress string) (advertise, platform string, err error) {
	port, err := f.ports.Take(2)
	if err != nil {
		return "", "", err
	}
	advertise, platform = f.ports.Address(port), f.ports.Address(port+1)
	peers, err := NewRelay(advertise, peerAddress)
	if err != nil {
		return "", "", err
	}
	f.peerRelays = append(f.peerRelays, peers)
	tables, err := NewRelay(platform, f.platformURL[len("http://"):])
	if err != nil {
		return "", "", err
	}
	f.platformRelays = append(f.platformRelays, tables)
	return advertise, platform, nil
}

func (f *Fleet) closeRelays() {
	for _, r := range append(f.peerRelays, f.platformRelays...) {
		r.Close()
	}
}
