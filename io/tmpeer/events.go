package tmpeer

import (
	"github.com/panjf2000/gnet/v2"
)

// eventHandler receives the callbacks of a gnet engine. The context of each
// connection is its stream. A connection whose context is not set was accepted by
// the listener and gets its stream in OnOpen.
type eventHandler struct {
	gnet.BuiltinEventEngine

	accept func() *stream
	engine gnet.Engine
	booted chan struct{}
}

// OnBoot records the engine, which is needed to stop it.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	if e.booted != nil {
		close(e.booted)
	}
	return gnet.None
}

// OnOpen attaches the connection to its stream. It creates the stream of an
// accepted connection.
func (e *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if s, ok := conn.Context().(*stream); ok {
		s.attach(conn)
		return nil, gnet.None
	}
	if e.accept == nil {
		return nil, gnet.Close
	}
	s := e.accept()
	if s == nil {
		return nil, gnet.Close
	}
	conn.SetContext(s)
	s.attach(conn)
	return nil, gnet.None
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
