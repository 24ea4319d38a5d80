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

// answerGrace is how much longer than the timeout of a request a Client waits
// for the answer, so that the refusal of the entry arrives.
const answerGrace = 5 * time.Second

// defaultConns bounds the connections of a Client to one entry.
const defaultConns = 256

// Client submits requests to one entry. It is safe for concurrent use.
type Client struct {
	base      string
	transport *http.Transport
	http      *http.Client
}

// NewClient returns a Client for the entry at base, for example
// "http://127.0.0.1:7001".
func NewClient(base string) *Client {
	return NewClientConns(base, defaultConns)
}

// NewClientConns returns a Client that opens at most conns connections. More
// requests wait for one of them.
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

// Reply is what an entry says about one request.
type Reply struct {
	// RequestID is the id under which the entry knows the request, or "" when
	// no answer arrived.
	RequestID string
	Answer    tmrequest.Answer
	// Fail is nil when there is an Answer.
	Fail *tmrequest.Error
	// Unsent is set when no connection to the entry could be opened, so that the
	// request never left.
	Unsent bool
	// Cut is set when the connection broke before the whole answer arrived.
	Cut bool
}

// Submit sends one request with the given key, which may be empty for queues
// that are open to all, and returns the answer. The error is a
// *tmrequest.Error, also when the entry can't be reached.
func (c *Client) Submit(ctx context.Context, key string, r tmrequest.Request) (tmrequest.Answer, error) {
	reply := c.Call(ctx, key, r)
	if reply.Fail != nil {
		return tmrequest.Answer{}, reply.Fail
	}
	return reply.Answer, nil
}

// Call is like Submit and also returns the id of the request.
func (c *Client) Call(ctx context.Context, key string, r tmrequest.Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout().Duration()+answerGrace)
	defer cancel()
	hr, err := c.newRequest(ctx, key, r)
	if err != nil {
		return Reply{Fail: tmrequest.Refuse(tmrequest.BadRequest, "%v", err)}
	}
	resp, err := c.http.Do(hr)
	if err != nil {
		// An earlier submission of the same id may have run, so the outcome is
		// unknown even when this one was not sent.
		fail := tmrequest.NewError(tmrequest.AnswerLost, tmonce.Unknown, "%v", err)
		return Reply{Fail: fail, Unsent: isDialError(err), Cut: !isDialError(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	id := resp.Header.Get(HeaderRequestID)
	body, err := io.ReadAll(io.LimitReader(resp.Body, tmrequest.MaxAnswerBytes))
	if err != nil {
		return Reply{RequestID: id, Fail: tmrequest.NewError(tmrequest.AnswerBroken, tmonce.Unknown, "%v", err), Cut: true}
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{RequestID: id, Fail: readError(resp.StatusCode, body)}
	}
	replayed := resp.Header.Get(HeaderReplayed) == "true"
	return Reply{RequestID: id, Answer: tmrequest.NewAnswer(resp.Header.Get("Content-Type"), body, replayed)}
}

func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (c *Client) newRequest(ctx context.Context, key string, r tmrequest.Request) (*http.Request, error) {
	target := c.base + "/v1/queues/" + url.PathEscape(r.Queue()) + "/requests"
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(r.Body()))
	if err != nil {
		return nil, fmt.Errorf("tmcaller: new request: %w", err)
	}
	// Without GetBody the transport can't send the body a second time by
	// itself, which would run a request twice.
	hr.GetBody = nil
	h := hr.Header
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
	return hr, nil
}

func setFlag(h http.Header, name string, on bool) {
	if on {
		h.Set(name, "true")
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}
