package tmpeer

import (
	"net"
	"time"

	"turmericmoor/internal/tmwait"
)

// acceptRetryInterval is the pause after a connection could not be accepted, for example because
// no file descriptor was left.
const acceptRetryInterval = 50 * time.Millisecond

// acceptAll accepts connections until the listener is closed. It waits for each one to be
// enrolled, and refuses connections before they are: gnet's own listener accepts all that wait,
// however many, before it asks about the first.
func (n *Node) acceptAll() {
	for {
		socket, err := n.listener.Accept()
		switch {
		case err == nil:
			n.enroll(socket)
		case !tmwait.Pause(n.ctx, acceptRetryInterval):
			return
		default:
			n.mu.Lock()
			n.closeOldestUnproved()
			n.mu.Unlock()
		}
	}
}

// enroll hands an accepted connection to the event loop, or closes it.
func (n *Node) enroll(socket net.Conn) {
	s := n.accept(socket.RemoteAddr().String())
	if s == nil {
		// The peer sees the closed connection.
		_ = socket.Close()
		return
	}
	if _, err := n.server.EnrollContext(socket, s); err != nil {
		n.warnLimited("peer connection closed", "reason", err)
		s.detach()
	}
}
