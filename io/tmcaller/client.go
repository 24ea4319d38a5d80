package tmcaller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
)

// answerMargin is how much longer than the timeout of a request a Client waits
// for the response, so that an error response of the entry can still arrive.
const answerMargin = 5 * time.Second

// defaultMaxConns is the default maximum number of connections to the entry.
const defaultMaxConns = 256

// Client submits requests to one entry. It is safe for concurrent use.
type Client struct {
	base      string
	transport *http.Transport
	http      *http.Client
}

// NewClient returns a Client for the entry at base, for example
// "http://127.0.0.1:7001".
func NewClient(base string) *Client {
	return NewClientConns(base, defaultMaxConns)
}

// NewClientConns returns a Client that opens at most conns connections. Further
// concurrent requests wait for a free connection.
func NewClientConns(base string, conns int) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{
		base:      strings.TrimSuffix(base, "/"),
		transport: transport,
		http:      &http.Client{Transport: transport},
	}
}

// Reply is the result of submitting one request.
type Reply struct {
	// RequestID is the id under which the entry knows the request, or "" if no
	// response arrived.
	RequestID string
	Answer    tmrequest.Answer
	// Err is nil if there is an Answer.
	Err *tmrequest.Error
	// NotSent is set if no connection to the entry could be opened, so that the
	// request was not sent.
	NotSent bool
	// Interrupted is set if the connection broke, or the context ended, before the
	// whole response arrived.
	Interrupted bool
}

// Submit sends one request and returns its answer. The key may be empty for queues
// that require none. The error is a *tmrequest.Error, even if the entry can't be
// reached.
func (c *Client) Submit(ctx context.Context, key string, r tmrequest.Request) (tmrequest.Answer, error) {
	reply := c.Call(ctx, key, r)
	if reply.Err != nil {
		return tmrequest.Answer{}, reply.Err
	}
	return reply.Answer, nil
}

// Call is like Submit but returns the whole Reply, which includes the request id.
func (c *Client) Call(ctx context.Context, key string, r tmrequest.Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout().Duration()+answerMargin)
	defer cancel()
	httpReq, err := c.newRequest(ctx, key, r)
	if err != nil {
		return Reply{Err: tmrequest.Refuse(tmrequest.BadRequest, "%v", err)}
	}
	resp, err := c.http.Do(httpReq)
	if err != nil {
		// An earlier submission with the same id may have run, so the outcome is
		// Unknown even if this one was not sent.
		reqErr := tmrequest.NewError(tmrequest.AnswerLost, tmonce.Unknown, "%v", err)
		return Reply{Err: reqErr, NotSent: isDialError(err), Interrupted: !isDialError(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	id := resp.Header.Get(HeaderRequestID)
	body, err := io.ReadAll(io.LimitReader(resp.Body, tmrequest.MaxAnswerBytes))
	if err != nil {
		return Reply{RequestID: id, Err: tmrequest.NewError(tmrequest.AnswerBroken, tmonce.Unknown, "%v", err), Interrupted: true}
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{RequestID: id, Err: readError(resp.StatusCode, body)}
	}
	replayed := resp.Header.Get(HeaderReplayed) == "true"
	return Reply{RequestID: id, Answer: tmrequest.NewAnswer(resp.Header.Get("Content-Type"), body, replayed)}
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (c *Client) newRequest(ctx context.Context, key string, r tmrequest.Request) (*http.Request, error) {
	target := c.base + "/v1/queues/" + url.PathEscape(r.Queue()) + "/requests"
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(r.Body()))
	if err != nil {
		return nil, fmt.Errorf("tmcaller: new request: %w", err)
	}
	// Without GetBody the transport can't resend the body on its own, which could
	// run the request twice.
	httpReq.GetBody = nil
	h := httpReq.Header
	h.Set("Content-Type", r.ContentType())
	h.Set(HeaderTimeout, strconv.FormatInt(int64(r.Timeout()), 10))
	if r.CallerChoseID() {
		h.Set(HeaderRequestID, r.ID())
	}
	setFlag(h, HeaderIdempotent, r.Idempotent())
	setFlag(h, HeaderUrgent, r.Urgent())
	setFlag(h, HeaderPreemptible, r.Preemptible())
	if r.Size() > 0 {
		h.Set(HeaderSize, strconv.Itoa(r.Size()))
	}
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
	return httpReq, nil
}

func setFlag(h http.Header, name string, on bool) {
	if on {
		h.Set(name, "true")
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}
