package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// shutdownTime is how long calls under way may take when the process stops.
const shutdownTime = 2 * time.Second

// headerTimeout bounds the wait for the header of a request.
const headerTimeout = 10 * time.Second

type service struct {
	listener net.Listener
	handler  http.Handler
	stop     func()
}

// ready is the line that tells where the stand-in listens.
type ready struct {
	Address   string   `json:"address"`
	Addresses []string `json:"addresses"`
}

// serve runs the services until ctx is done.
func serve(ctx context.Context, out io.Writer, services []service) error {
	failed := make(chan error, len(services))
	servers := make([]*http.Server, 0, len(services))
	var line ready
	for _, s := range services {
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		line.Addresses = append(line.Addresses, s.listener.Addr().String())
		go func() { failed <- server.Serve(s.listener) }()
	}
	line.Address = line.Addresses[0]
	err := json.NewEncoder(out).Encode(line)
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-failed:
			failed <- err
		}
	}
	for i, server := range servers {
		services[i].stop()
		shutdown(server)
	}
	for range servers {
		if e := <-failed; !errors.Is(e, http.ErrServerClosed) {
			err = errors.Join(err, fmt.Errorf("tmstandin: serve: %w", e))
		}
	}
	return err
}

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// nthAddress returns the address whose port is n above that of first. Port 0
// stays 0.
func nthAddress(first string, n int) (string, error) {
	address, err := netip.ParseAddrPort(first)
	if err != nil {
		return "", fmt.Errorf("tmstandin: --listen %q, expected IP:port: %w", first, err)
	}
	port := int(address.Port())
	if port == 0 {
		return first, nil
	}
	if port+n > 65535 {
		return "", fmt.Errorf("tmstandin: --listen %q has no port for endpoint %d", first, n+1)
	}
	return netip.AddrPortFrom(address.Addr(), uint16(port+n)).String(), nil
}

// limitedListener accepts a connection only while fewer than its limit are
// open. Others wait in the backlog of the system.
type limitedListener struct {
	net.Listener
	open   chan struct{}
	closed chan struct{}
	once   sync.Once
}

type limitedConn struct {
	net.Conn
	release func()
}

// listenLimited listens, without a limit when it is 0.
func listenLimited(address string, limit int) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("tmstandin: listen: %w", err)
	}
	if limit <= 0 {
		return listener, nil
	}
	return &limitedListener{
		Listener: listener,
		open:     make(chan struct{}, limit),
		closed:   make(chan struct{}),
	}, nil
}

// Accept waits for a connection and for room for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
}

// Close stops Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Close makes room for another connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
