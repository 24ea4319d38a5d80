// Package tmendpoint is the client of endpoints: leases of slots, task starts
// and control of running tasks.
//
// One Client serves all endpoints. Calls for control have their own
// connections, so a renewal never waits for a task. Nothing is retried here,
// and net/http is kept from sending a task start twice.
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
	// DefaultTimeout bounds control calls when Options have no timeout. It
	// equals the time that a lease lasts: a later renewal is of no use.
	DefaultTimeout = 1 * tmclock.Second

	// MaxAnswer bounds the body of a task's answer in bytes. Encoded in base64
	// it fits into a frame of 4 MB between entries.
	MaxAnswer = 2 << 20

	// An endpoint takes 64 connections from all entries. One entry opens at
	// most 64 and keeps 5 idle ones, so that 9 entries hold 45 while idle and
	// the 8 slots leave room for tasks.
	maxControlConns = 4
	maxTaskConns    = 60
	maxControlIdle  = 1
	maxTaskIdle     = 4

	// maxControlBody holds a usage report of many tasks.
	maxControlBody = 1 << 20
)

// Errors of control calls.
var (
	// ErrLeaseEnded is returned when the endpoint no longer knows the lease.
	ErrLeaseEnded = errors.New("tmendpoint: lease has ended")
	// ErrUnavailable is returned when the endpoint refused the call or gave no
	// usable answer. The call may have taken effect.
	ErrUnavailable = errors.New("tmendpoint: endpoint is unavailable")
)

// Options configure a Client.
type Options struct {
	// Timeout bounds each control call. Zero stands for DefaultTimeout.
	Timeout tmclock.Span
}

// Client talks to endpoints. It is safe for concurrent use.
type Client struct {
	timeout tmclock.Span
	control *tmhttp.Client
	tasks   *tmhttp.Client
}

// New returns a Client. It opens connections when they are needed.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	return &Client{
		timeout: opts.Timeout,
		control: tmhttp.New(tmhttp.Options{MaxConns: maxControlConns, MaxIdleConns: maxControlIdle, MaxBodyBytes: maxControlBody}),
		tasks:   tmhttp.New(tmhttp.Options{MaxConns: maxTaskConns, MaxIdleConns: maxTaskIdle, MaxBodyBytes: MaxAnswer}),
	}
}

// Close cancels the calls under way and waits for them. Tasks under way are
// not stopped at their endpoints.
func (c *Client) Close() {
	c.tasks.Close()
	c.control.Close()
}

// call performs a control call and decodes its answer into out, unless out is
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

func leasePath(lease, verb string) string {
	return "/v1/leases/" + url.PathEscape(lease) + verb
}

func taskPath(attempt, verb string) string {
	return "/v1/tasks/" + url.PathEscape(attempt) + "/" + verb
}
