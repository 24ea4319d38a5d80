package tmhttp_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmhttp"
)

const timeout = 5 * tmclock.Second

func newClient(t *testing.T, maxConns int) *tmhttp.Client {
	t.Helper()
	c := tmhttp.New(tmhttp.Options{MaxConns: maxConns, MaxIdleConns: maxConns, MaxBodyBytes: 1000})
	t.Cleanup(c.Close)
	return c
}

func post(t *testing.T, address, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	assert.NilError(t, err)
	return req
}

func wasSent(t *testing.T, err error) bool {
	t.Helper()
	var failed *tmhttp.Error
	assert.Assert(t, errors.As(err, &failed), "got %v", err)
	return failed.Sent
}

// rawServer accepts TCP connections and calls serve with each one and its number,
// starting at 1.
func rawServer(t *testing.T, serve func(n int, conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(n, conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return listener.Addr().String()
}

// Guards against a request being reported as sent although its connection was
// refused. The outcome of a sent request is uncertain, that of this one is not.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = newClient(t, 1).Do(context.Background(), post(t, listener.Addr().String(), "x"), timeout)
	assert.Equal(t, wasSent(t, err), false)
}

// Guards against a request being reported as sent although it timed out while it
// waited for a free connection. Also guards against a wait beyond the timeout.
func TestWaitForConnectionIsNotSent(t *testing.T) {
	arrived := make(chan struct{})
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-done
	}))
	defer server.Close()
	defer close(done)
	c := newClient(t, 1)
	first := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, err := c.Do(ctx, post(t, server.Listener.Addr().String(), "x"), timeout)
		first <- err
	}()
	<-arrived
	_, err := c.Do(context.Background(), post(t, server.Listener.Addr().String(), "x"), 50)
	assert.Equal(t, wasSent(t, err), false)
	cancel()
	assert.Equal(t, wasSent(t, <-first), true)
}

// Guards against net/http sending a POST twice. It must not do so when the server
// closes a reused connection after it has read the request, because the server may
// have processed the request.
func TestPostIsNeverReplayed(t *testing.T) {
	var requests atomic.Int64
	address := rawServer(t, func(_ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		for i := range 2 {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body := make([]byte, req.ContentLength)
			_, _ = req.Body.Read(body)
			requests.Add(1)
			if i == 0 {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}
	})
	c := newClient(t, 1)
	_, err := c.Do(context.Background(), post(t, address, "one"), timeout)
	assert.NilError(t, err)
	_, err = c.Do(context.Background(), post(t, address, "two"), timeout)
	assert.Equal(t, wasSent(t, err), true)
	assert.Equal(t, requests.Load(), int64(2))
}

// Guards against a request that is written after its exchange was reported as not
// sent. The test cancels 2000 exchanges at different times. The server must receive
// none of those that were reported as not sent.
func TestNotSentIsTrueUnderCancel(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.Header.Get("Tm-Attempt")] = true
	}))
	c := newClient(t, 8)
	notSent := make([]string, 0, 2000)
	for i := range 2000 {
		name := time.Duration(i).String()
		req := post(t, server.Listener.Addr().String(), "x")
		req.Header.Set("Tm-Attempt", name)
		ctx, cancel := context.WithCancel(context.Background())
		timer := time.AfterFunc(time.Duration(i%200)*time.Microsecond, cancel)
		if _, err := c.Do(ctx, req, timeout); err != nil && !wasSent(t, err) {
			notSent = append(notSent, name)
		}
		timer.Stop()
		cancel()
	}
	server.Close()
	for _, name := range notSent {
		assert.Assert(t, !seen[name], "exchange %s was reported as not sent, but the server received it", name)
	}
	assert.Assert(t, len(notSent) > 0, "no exchange was canceled before it was sent")
}

// Guards against redirects that send a request to another server, and against
// response bodies without a size limit.
func TestRedirectAndLongBodyAreReturned(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("Location", "/again")
		w.WriteHeader(http.StatusTemporaryRedirect)
		_, _ = w.Write(make([]byte, 1001))
	}))
	defer server.Close()
	resp, err := newClient(t, 1).Do(context.Background(), post(t, server.Listener.Addr().String(), "x"), timeout)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, len(resp.Body), 1000)
	assert.ErrorContains(t, resp.BodyErr, "exceeds the bound")
	assert.Equal(t, requests.Load(), int64(1))
}

// Guards against goroutines and exchanges that continue after Close.
func TestCloseCancelsAndWaits(t *testing.T) {
	defer goleak.VerifyNone(t)
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	c := tmhttp.New(tmhttp.Options{MaxConns: 1, MaxIdleConns: 1, MaxBodyBytes: 10})
	result := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), post(t, server.Listener.Addr().String(), ""), timeout)
		result <- err
	}()
	<-arrived
	c.Close()
	assert.Equal(t, wasSent(t, <-result), true)
	_, err := c.Do(context.Background(), post(t, server.Listener.Addr().String(), ""), timeout)
	assert.ErrorIs(t, err, tmhttp.ErrClosed)
}
