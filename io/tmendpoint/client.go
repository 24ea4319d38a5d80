// Package tmendpoint implements the client of endpoints: slot leases, task starts
// and control of running tasks.
//
// One Client serves all endpoints. Control calls use connections of their own, so
// a lease renewal never waits for a task. The package retries nothing and
// prevents net/http from sending a task start twice.
package tmendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmhttp"
)

// Limits of the client.
const (
	// DefaultTimeout is the timeout of control calls if Options sets none. It
	// equals the lease duration, because a renewal that takes longer is useless.
	DefaultTimeout = 1 * tmclock.Second

	// MaxAnswerBytes is the maximum length of a task's answer. Encoded in base64,
	// an answer of this length fits into a 4 MB frame between entries.
	MaxAnswerBytes = 2 << 20

	// An endpoint accepts 64 connections from all entries together. One entry
	// opens at most 64 and keeps at most 5 idle, so 9 idle entries hold 45 and
	// leave enough connections for tasks in the 8 slots.
	maxControlConns     = 4
	maxTaskConns        = 60
	maxIdleControlConns = 1
	maxIdleTaskConns    = 4

	// maxControlBodyBytes is large enough for a usage report with many tasks.
	maxControlBodyBytes = 1 << 20
)

// Errors of control calls.
var (
	// ErrLeaseEnded is returned if the endpoint no longer knows the lease.
	ErrLeaseEnded = errors.New("tmendpoint: lease has ended")
	// ErrUnavailable is returned if the endpoint rejected the call or sent no
	// valid response. The call may still have taken effect.
	ErrUnavailable = errors.New("tmendpoint: endpoint is unavailable")
)

// Options configures a Client.
type Options struct {
	// Timeout limits each control call. Zero means DefaultTimeout.
	Timeout tmclock.Span
}

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	timeout tmclock.Span
	control *tmhttp.Client
	tasks   *tmhttp.Client
}

// New returns a Client. Connections are opened on demand.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	return &Client{
		timeout: opts.Timeout,
		control: tmhttp.New(tmhttp.Options{MaxConns: maxControlConns, MaxIdleConns: maxIdleControlConns, MaxBodyBytes: maxControlBodyBytes}),
		tasks:   tmhttp.New(tmhttp.Options{MaxConns: maxTaskConns, MaxIdleConns: maxIdleTaskConns, MaxBodyBytes: MaxAnswerBytes}),
	}
}

// Close cancels the calls in progress and waits for them to return. It doesn't
// stop running tasks at their endpoints.
func (c *Client) Close() {
	c.tasks.Close()
	c.control.Close()
}

// call performs a control call and decodes the response into out, unless out is
// nil. Errors wrap ErrLeaseEnded or ErrUnavailable.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	body, err := encodeBody(in)
	if err != nil {
		return fmt.Errorf("tmendpoint: %s %s: %w", method, path, err)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("tmendpoint: %s %s: %w: %w", address, path, ErrUnavailable, err)
	}
	resp, err := c.control.Do(ctx, req, c.timeout)
	if err != nil {
		return fmt.Errorf("tmendpoint: %s %s: %w: %w", address, path, ErrUnavailable, err)
	}
	switch {
	case resp.Status == http.StatusGone:
		return fmt.Errorf("tmendpoint: %s %s: %w", address, path, ErrLeaseEnded)
	case resp.Status != http.StatusOK:
		return fmt.Errorf("tmendpoint: %s %s: status %d: %w", address, path, resp.Status, ErrUnavailable)
	case resp.BodyErr != nil:
		return fmt.Errorf("tmendpoint: %s %s: %w: %w", address, path, ErrUnavailable, resp.BodyErr)
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return fmt.Errorf("tmendpoint: %s %s: %w: %w", address, path, ErrUnavailable, err)
	}
	return nil
}

func encodeBody(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	return json.Marshal(in)
}

func leasePath(lease, action string) string {
	return "/v1/leases/" + url.PathEscape(lease) + action
}

func taskPath(attempt, action string) string {
	return "/v1/tasks/" + url.PathEscape(attempt) + "/" + action
}
