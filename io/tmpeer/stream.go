package tmpeer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
)

const (
	headerSize = 4
	// maxFrame bounds one message. A State has about 150 KB at the two-year
	// size, the body of a request up to 1 MB.
	maxFrame = 4 << 20
	// maxHandshakeFrame bounds messages of a peer that has not proved the
	// secret, so that strangers can't make an entry use much memory.
	maxHandshakeFrame = 4 << 10
	// queuedFrames bounds the frames that wait for ReadObject. Further bytes
	// stay in gnet's buffer.
	queuedFrames = 16
	// maxBacklog bounds the bytes that gnet holds for a connection in one
	// direction. gnet reads from the socket as long as there is something, so
	// unread bytes alone don't slow the sender; above this the connection is
	// closed.
	maxBacklog = 4 * maxFrame
)

// stream is the jsonrpc2.ObjectStream of one gnet connection. The event loop
// puts frames into the queue in; it never waits. All methods are safe for
// concurrent use, except traffic, which belongs to the event loop.
type stream struct {
	in      chan []byte
	done    chan struct{}
	stalled atomic.Bool
	limit   atomic.Int64
	peer    atomic.Pointer[string]
	filter  func(out bool, peer string) bool
	// sent counts the bytes of frames for all streams of a Node.
	sent *atomic.Int64

	// mu guards conn and closed: once gnet has closed the connection, nothing
	// may be sent through it, because after a shutdown gnet would write to
	// file descriptors that have other owners by then.
	mu      sync.Mutex
	conn    gnet.Conn
	closed  bool
	pending atomic.Int64
	unsent  atomic.Int64
}

func newStream(filter func(out bool, peer string) bool, sent *atomic.Int64) *stream {
	s := &stream{
		in:     make(chan []byte, queuedFrames),
		done:   make(chan struct{}),
		filter: filter,
		sent:   sent,
	}
	s.limit.Store(maxHandshakeFrame)
	return s
}

// passes reports whether a frame in one direction goes through the filter.
func (s *stream) passes(out bool) bool {
	peer := s.peer.Load()
	return s.filter == nil || peer == nil || s.filter(out, *peer)
}

// attach makes the stream use conn.
func (s *stream) attach(conn gnet.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// detach marks the stream closed. The event loop calls it when it closes the
// connection.
func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
}

// proven lifts the frame limit for strangers.
func (s *stream) proven() { s.limit.Store(maxFrame) }

// WriteObject sends one message. It returns ErrTooLarge for a message above
// the frame size, and ErrClosed after Close.
func (s *stream) WriteObject(obj any) error {
	body, err := encode(obj)
	if err != nil {
		return fmt.Errorf("tmpeer: encode message: %w", err)
	}
	if len(body) > maxFrame {
		return ErrTooLarge
	}
	if !s.passes(true) {
		return nil
	}
	frame := make([]byte, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[headerSize:], body)
	return s.send(frame)
}

func (s *stream) send(frame []byte) error {
	size := int64(len(frame))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.conn == nil {
		return ErrClosed
	}
	if s.pending.Add(size)+s.unsent.Load() > maxBacklog {
		_ = s.conn.Close()
		return fmt.Errorf("%w: the peer doesn't read", ErrClosed)
	}
	s.sent.Add(size)
	return s.conn.AsyncWrite(frame, func(c gnet.Conn, err error) error {
		s.pending.Add(-size)
		if err == nil {
			s.unsent.Store(int64(c.OutboundBuffered()))
		}
		return nil
	})
}

// ReadObject waits for the next message. It returns io.EOF after the
// connection was closed and the queue is empty.
func (s *stream) ReadObject(v any) error {
	frame, ok := s.next()
	if !ok {
		return io.EOF
	}
	if s.stalled.Swap(false) {
		s.wake()
	}
	if err := decode(frame, v); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return nil
}

// encode and decode call the methods of jsonrpc2's messages directly: through
// encoding/json each message would be scanned once more, which is a quarter of
// the cost of forwarded work.
func encode(obj any) ([]byte, error) {
	if m, ok := obj.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(obj)
}

func decode(frame []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(frame)
	}
	return json.Unmarshal(frame, v)
}

func (s *stream) next() ([]byte, bool) {
	select {
	case frame := <-s.in:
		return frame, true
	default:
	}
	select {
	case frame := <-s.in:
		return frame, true
	case <-s.done:
		return nil, false
	}
}

// wake lets the event loop look again at bytes that it left unread.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.conn != nil {
		_ = s.conn.Wake(nil)
	}
}

// Close closes the connection. What was written before is still sent as far
// as the socket takes it.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.conn == nil {
		return nil
	}
	return s.conn.Close()
}

// traffic takes the complete frames off conn as long as the queue has room.
func (s *stream) traffic(conn gnet.Conn) gnet.Action {
	s.unsent.Store(int64(conn.OutboundBuffered()))
	for {
		frame, action := s.frame(conn)
		if frame == nil {
			return action
		}
		if s.passes(false) {
			s.in <- frame
		}
	}
}

// frame returns the next frame, or nil when there is none or no room for it.
// Only the event loop fills the queue, so room that was seen stays.
func (s *stream) frame(conn gnet.Conn) ([]byte, gnet.Action) {
	if s.full() {
		return nil, backlogAction(conn)
	}
	header, err := conn.Peek(headerSize)
	if err != nil {
		return nil, gnet.None
	}
	size := int64(binary.BigEndian.Uint32(header))
	if size > s.limit.Load() {
		return nil, gnet.Close
	}
	total := headerSize + int(size)
	if conn.InboundBuffered() < total {
		return nil, gnet.None
	}
	data, err := conn.Peek(total)
	if err != nil {
		return nil, gnet.Close
	}
	frame := make([]byte, size)
	copy(frame, data[headerSize:])
	_, _ = conn.Discard(total)
	return frame, gnet.None
}

// full reports whether the queue has no room, and if so leaves word for the
// reader to wake the event loop. The second look covers a reader that emptied
// the queue before it could see the flag.
func (s *stream) full() bool {
	if len(s.in) < cap(s.in) {
		return false
	}
	s.stalled.Store(true)
	return len(s.in) == cap(s.in)
}

func backlogAction(conn gnet.Conn) gnet.Action {
	if conn.InboundBuffered() > maxBacklog {
		return gnet.Close
	}
	return gnet.None
}
