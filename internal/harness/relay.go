package harness

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay is a TCP proxy that forwards connections to a target address and counts
// the bytes of both directions. It can delay or withhold bytes to simulate
// network faults.
type Relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64

	mu     sync.Mutex
	closed bool
	fault  RelayFault
	// changed is closed when the fault changes or the relay is closed.
	changed chan struct{}
	// conns has all open connections. Those in muted stay open but deliver no
	// more bytes.
	conns, muted map[net.Conn]struct{}
	wg           sync.WaitGroup
}

// RelayFault is a network fault that a relay simulates.
type RelayFault struct {
	// Delay is added to each block of forwarded bytes.
	Delay time.Duration
	// HoldIn withholds bytes sent by clients, HoldOut bytes sent to them, until
	// the fault is cleared.
	HoldIn, HoldOut bool
}

// NewRelay starts a relay from the address listen to target.
func NewRelay(listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("harness: relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}, muted: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	r.wg.Go(r.accept)
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
		if !r.register(in, out) {
			return
		}
		r.wg.Go(func() { r.copyBytes(in, out, false) })
		r.wg.Go(func() { r.copyBytes(out, in, true) })
	}
}

// register records connections so that Close can close them. If the relay is
// closed already, it closes them and returns false.
func (r *Relay) register(conns ...net.Conn) bool {
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

// Address returns the listen address of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault replaces the current fault.
func (r *Relay) SetFault(f RelayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset aborts all open connections with a TCP reset.
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

// Mute stops delivery on all connections that are open now without closing them.
func (r *Relay) Mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.muted[c] = struct{}{}
	}
}

// waitWhileHeld blocks while the fault withholds bytes for the connection to. It
// returns false when the relay is closed.
func (r *Relay) waitWhileHeld(to net.Conn, in bool) bool {
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

// copyBytes copies one direction of a connection and closes both ends when it
// stops. in reports that the bytes come from the client.
func (r *Relay) copyBytes(to, from net.Conn, in bool) {
	block := make([]byte, 32<<10)
	for {
		n, err := from.Read(block)
		if n > 0 {
			if !r.waitWhileHeld(to, in) {
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

// Close stops the relay and closes its connections.
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
	r.wg.Wait()
}

// PeerBytes returns the number of bytes transferred between entries since the
// start. It is 0 unless Layout.CountBytes is set.
func (f *Fleet) PeerBytes() int64 { return sumBytes(f.peerRelays) }

// PlatformBytes returns the number of bytes transferred between entries and the
// platform since the start. It is 0 unless Layout.CountBytes is set.
func (f *Fleet) PlatformBytes() int64 { return sumBytes(f.platformRelays) }

func sumBytes(relays []*Relay) int64 {
	sum := int64(0)
	for _, r := range relays {
		sum += r.bytes.Load()
	}
	return sum
}

// addRelays starts a relay in front of an entry's peer listener and one between
// the entry and the platform. It returns their listen addresses.
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
