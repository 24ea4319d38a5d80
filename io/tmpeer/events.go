package tmpeer

import (
	"github.com/panjf2000/gnet/v2"
)

// events receives the callbacks of a gnet engine. The context of each
// connection is its stream; a connection without one was accepted from the
// listener.
type events struct {
	gnet.BuiltinEventEngine

	accept func() *stream
	engine gnet.Engine
	booted chan struct{}
}

// OnBoot records the engine, which is needed to stop it.
func (e *events) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	if e.booted != nil {
		close(e.booted)
	}
	return gnet.None
}

// OnOpen gives an accepted connection its stream.
func (e *events) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
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

// OnTraffic hands complete frames to the stream.
func (e *events) OnTraffic(conn gnet.Conn) gnet.Action {
	if s, ok := conn.Context().(*stream); ok {
		return s.traffic(conn)
	}
	return gnet.Close
}

// OnClose ends the stream.
func (e *events) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if s, ok := conn.Context().(*stream); ok {
		s.detach()
	}
	return gnet.None
}

// engineLog drops gnet's own lines: they are not in the log format of this
// project, and what matters is reported by the calls.
type engineLog struct{}

func (engineLog) Debugf(string, ...any) {}
func (engineLog) Infof(string, ...any)  {}
func (engineLog) Warnf(string, ...any)  {}
func (engineLog) Errorf(string, ...any) {}
func (engineLog) Fatalf(string, ...any) {}

// Printf drops the lines of jsonrpc2.
func (engineLog) Printf(string, ...any) {}

// discard is an io.Writer for a Node without a log.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
