package tmpeer

import (
	"github.com/panjf2000/gnet/v2"
)

// eventHandler receives the callbacks of a gnet engine. The context of each
// connection is its stream.
type eventHandler struct {
	gnet.BuiltinEventEngine
}

// OnOpen attaches the connection to its stream.
func (e *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if s, ok := conn.Context().(*stream); ok {
		s.attach(conn)
		return nil, gnet.None
	}
	return nil, gnet.Close
}

// OnTraffic lets the stream read the complete frames that have arrived.
func (e *eventHandler) OnTraffic(conn gnet.Conn) gnet.Action {
	if s, ok := conn.Context().(*stream); ok {
		return s.readFrames(conn)
	}
	return gnet.Close
}

// OnClose marks the stream as closed.
func (e *eventHandler) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if s, ok := conn.Context().(*stream); ok {
		s.detach()
	}
	return gnet.None
}

// discardLogger discards the log lines of gnet and jsonrpc2. They are not in
// the log format of this project, and calls return the errors that matter.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}

// Printf discards a log line of jsonrpc2.
func (discardLogger) Printf(string, ...any) {}

// discardWriter is the log output of a Node without a logger.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
