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
	// maxFrame is the maximum size of a message in bytes. The State of a fleet
	// of the size planned for two years ahead has about 150 KB, the body of a
	// request up to 1 MB.
	maxFrame = 4 << 20
	// maxHandshakeFrame is the maximum size of a message before the handshake
	// has succeeded. It limits the memory that unauthenticated clients can make
	// an entry allocate.
	maxHandshakeFrame = 4 << 10
	// maxQueuedFrames is the maximum number of frames queued for ReadObject.
	// Further bytes stay in gnet's buffer.
	maxQueuedFrames = 16
	// maxBacklog is the maximum number of bytes that gnet may buffer for a
	// connection in one direction before the connection is closed. gnet reads all
	// that the socket has, so leaving bytes in gnet's buffer doesn't slow the
	// sender down. Before the handshake has succeeded, the limit for received bytes is as many
	// frames of maxHandshakeFrame.
	maxBacklog    = backlogFrames * maxFrame
	backlogFrames = 4
)

// stream is the jsonrpc2.ObjectStream of one gnet connection. The event loop
// adds received frames to the channel frames and never blocks on it. All methods
// are safe for concurrent use, except readFrames, which only the event loop may
// call.
type stream struct {
	frames chan []byte
	done   chan struct{}
	// stop ends ReadObject like done, but at once: frames in the queue are dropped.
	stop <-chan struct{}
	// readerEnded is called once ReadObject has returned an error, after which it is not
	// called again. It may be nil.
	readerEnded func()
	// stalled is set when the event loop has left bytes unread because the
	// queue is full.
	stalled    atomic.Bool
	frameLimit atomic.Int64
	peerName   atomic.Pointer[string]
	filter     func(out bool, peer string) bool
	// bytesSent counts the bytes sent by all streams of a Node together.
	bytesSent *atomic.Int64

	// mu guards conn and closed. Nothing may be sent through conn after gnet has
	// closed it: after a shutdown gnet would write to file descriptors that have
	// been reused.
	mu     sync.Mutex
	conn   gnet.Conn
	closed bool
	// asyncBytes is the number of bytes passed to AsyncWrite whose callback has
	// not run yet. bufferedBytes is the last known size of gnet's outbound
	// buffer.
	asyncBytes    atomic.Int64
	bufferedBytes atomic.Int64
}

func newStream(stop <-chan struct{}, filter func(out bool, peer string) bool, bytesSent *atomic.Int64) *stream {
	s := &stream{
		frames:    make(chan []byte, maxQueuedFrames),
		done:      make(chan struct{}),
		stop:      stop,
		filter:    filter,
		bytesSent: bytesSent,
	}
	s.frameLimit.Store(maxHandshakeFrame)
	return s
}

// filterAllows reports whether Options.Filter lets frames pass. out is true for frames
// that this entry sends and false for those that it receives.
func (s *stream) filterAllows(out bool) bool {
	peer := s.peerName.Load()
	return s.filter == nil || peer == nil || s.filter(out, *peer)
}

// attach sets the connection of the stream.
func (s *stream) attach(conn gnet.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// detach marks the stream as closed. The event loop calls it when it closes the
// connection.
func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
}

// raiseFrameLimit raises the frame limit from maxHandshakeFrame to maxFrame.
func (s *stream) raiseFrameLimit() { s.frameLimit.Store(maxFrame) }

// WriteObject queues one message for sending. It returns ErrTooLarge for a
// message above maxFrame, and ErrClosed after Close.
func (s *stream) WriteObject(obj any) error {
	body, err := encode(obj)
	if err != nil {
		return fmt.Errorf("tmpeer: encode message: %w", err)
	}
	if len(body) > maxFrame {
		return ErrTooLarge
	}
	if !s.filterAllows(true) {
		return nil
	}
	frame := make([]byte, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[headerSize:], body)
	return s.send(frame)
}

// send queues a frame for writing. If more than maxBacklog bytes are unsent, it
// closes the connection, because the peer has stopped reading.
func (s *stream) send(frame []byte) error {
	size := int64(len(frame))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.conn == nil {
		return ErrClosed
	}
	if s.asyncBytes.Add(size)+s.bufferedBytes.Load() > maxBacklog {
		_ = s.conn.Close()
		return fmt.Errorf("%w: the peer is not reading", ErrClosed)
	}
	s.bytesSent.Add(size)
	return s.conn.AsyncWrite(frame, func(c gnet.Conn, err error) error {
		s.asyncBytes.Add(-size)
		if err == nil {
			s.bufferedBytes.Store(int64(c.OutboundBuffered()))
		}
		return nil
	})
}

// ReadObject waits for the next message and decodes it into v. It returns io.EOF
// when the connection is closed and the queue is empty, or when the Node is closed.
func (s *stream) ReadObject(v any) error {
	err := s.readObject(v)
	if err != nil && s.readerEnded != nil {
		s.readerEnded()
	}
	return err
}

func (s *stream) readObject(v any) error {
	frame, ok := s.dequeue()
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

// encode and decode call the JSON methods of jsonrpc2 messages directly.
// encoding/json would scan each message once more, which is a quarter of the
// cost of forwarding a request.
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

// dequeue waits for the next frame. It returns false when the stream is closed
// and the queue is empty, or when the Node is closed.
func (s *stream) dequeue() ([]byte, bool) {
	select {
	case <-s.stop:
		return nil, false
	default:
	}
	select {
	case frame := <-s.frames:
		return frame, true
	default:
	}
	select {
	case frame := <-s.frames:
		return frame, true
	case <-s.done:
		return nil, false
	case <-s.stop:
		return nil, false
	}
}

// wake makes the event loop process bytes that it has left in gnet's buffer.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.conn != nil {
		_ = s.conn.Wake(nil)
	}
}

// Close closes the connection. Messages written before are still sent as far as
// the socket accepts them.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.conn == nil {
		return nil
	}
	return s.conn.Close()
}

// readFrames moves complete frames from conn to the queue until the queue is
// full. It drops received frames for which Options.Filter returns false.
func (s *stream) readFrames(conn gnet.Conn) gnet.Action {
	s.bufferedBytes.Store(int64(conn.OutboundBuffered()))
	for {
		frame, action := s.nextFrame(conn)
		if frame == nil {
			return action
		}
		if s.filterAllows(false) {
			s.frames <- frame
		}
	}
}

// nextFrame returns the next frame, or nil if there is no complete frame or the
// queue is full. Only the event loop adds to the queue, so if the queue has a free
// slot now, adding the frame doesn't block.
func (s *stream) nextFrame(conn gnet.Conn) ([]byte, gnet.Action) {
	if s.queueFull() {
		return nil, backlogAction(conn, backlogFrames*s.frameLimit.Load())
	}
	header, err := conn.Peek(headerSize)
	if err != nil {
		return nil, gnet.None
	}
	size := int64(binary.BigEndian.Uint32(header))
	if size > s.frameLimit.Load() {
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

// queueFull reports whether the queue is full. If so, it sets stalled, so that
// the reader wakes the event loop. It checks the queue again afterwards, because
// the reader may have emptied the queue before stalled was set.
func (s *stream) queueFull() bool {
	if len(s.frames) < cap(s.frames) {
		return false
	}
	s.stalled.Store(true)
	return len(s.frames) == cap(s.frames)
}

// backlogAction closes a connection whose inbound buffer exceeds a limit.
func backlogAction(conn gnet.Conn, limit int64) gnet.Action {
	if int64(conn.InboundBuffered()) > limit {
		return gnet.Close
	}
	return gnet.None
}
