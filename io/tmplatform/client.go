// Package tmplatform is a client of the platform: its table service, its object
// store and its list of instances.
//
// Errors wrap ErrNotFound, ErrUnavailable, ErrUncertain or ErrRejected, or are
// a *ConflictError. The client doesn't retry.
package tmplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmhttp"
)

// Timeout and limits of a Client.
const (
	// DefaultTimeout is the timeout of a call if Options has none. It equals the
	// freshness timeout, which is how long a read of the State permits an entry to
	// act on the State, counted from the request: a later response is of no use.
	DefaultTimeout = 2 * tmclock.Second

	maxConns     = 64
	maxIdleConns = 8
	// maxBodyBytes has room for a page of 64 versions of a State of 150 KB each.
	maxBodyBytes = 16 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is the URL of the platform, http://IP:port.
	BaseURL string
	// Instance is the name of the entry that uses the Client. It is sent with each
	// call.
	Instance string
	// Timeout is the timeout of each call. DefaultTimeout is used if it is zero.
	Timeout tmclock.Span
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	opts Options
	http *tmhttp.Client
}

// New returns a Client. Connections are opened when they are needed.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	return &Client{
		opts: opts,
		http: tmhttp.New(tmhttp.Options{MaxConns: maxConns, MaxIdleConns: maxIdleConns, MaxBodyBytes: maxBodyBytes}),
	}
}

// Close cancels the calls in progress and waits for them to return.
func (c *Client) Close() {
	c.http.Close()
}

// Row is a row of a table. Its revision is that of the last transaction that
// wrote the row.
type Row struct {
	Key      string
	Revision uint64
	Value    json.RawMessage
}

type wireRow struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

type wireRows struct {
	Rows []wireRow `json:"rows"`
}

// Read returns one row. The error wraps ErrNotFound or ErrUnavailable.
func (c *Client) Read(ctx context.Context, table, key string) (Row, error) {
	if table == "" || key == "" {
		return Row{}, fmt.Errorf("tmplatform: read %q/%q: empty name: %w", table, key, ErrRejected)
	}
	body, err := c.read(ctx, rowPath(table, key))
	if err != nil {
		return Row{}, err
	}
	var w wireRow
	if err := json.Unmarshal(body, &w); err != nil {
		return Row{}, fmt.Errorf("tmplatform: read %s/%s: %w: %w", table, key, ErrUnavailable, err)
	}
	if w.Key != key || w.Revision == 0 {
		return Row{}, fmt.Errorf("tmplatform: read %s/%s: response has row %q: %w", table, key, w.Key, ErrUnavailable)
	}
	return Row(w), nil
}

// List returns at most limit rows whose keys start with prefix and are greater
// than after, in key order. The limit must be from 1 to MaxListRows. The error
// wraps ErrUnavailable or ErrRejected.
func (c *Client) List(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", after)
	query.Set("limit", strconv.Itoa(limit))
	body, err := c.read(ctx, "/v1/tables/"+url.PathEscape(table)+"/rows?"+query.Encode())
	if err != nil {
		return nil, err
	}
	var w wireRows
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("tmplatform: list %s: %w: %w", table, ErrUnavailable, err)
	}
	rows := make([]Row, 0, len(w.Rows))
	for _, r := range w.Rows {
		rows = append(rows, Row(r))
	}
	return rows, nil
}

func rowPath(table, key string) string {
	return "/v1/tables/" + url.PathEscape(table) + "/rows/" + url.PathEscape(key)
}

// read performs a GET and returns the body. A read has no effect, so every failure
// to get a complete response is ErrUnavailable.
func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, fmt.Errorf("tmplatform: GET %s: %w: %w", path, ErrUnavailable, err)
	}
	switch {
	case resp.Status == http.StatusNotFound:
		return nil, fmt.Errorf("tmplatform: GET %s: %w", path, ErrNotFound)
	case resp.Status == http.StatusBadRequest:
		return nil, fmt.Errorf("tmplatform: GET %s: %w", path, ErrRejected)
	case resp.Status != http.StatusOK:
		return nil, fmt.Errorf("tmplatform: GET %s: status %d: %w", path, resp.Status, ErrUnavailable)
	case resp.BodyErr != nil:
		return nil, fmt.Errorf("tmplatform: GET %s: %w: %w", path, ErrUnavailable, resp.BodyErr)
	}
	return resp.Body, nil
}

// write performs a call that modifies data. It returns the response if its status
// is 200 or 409. Any other outcome is an error that tells whether the write may
// have taken effect.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (*tmhttp.Response, error) {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		sentinel := ErrUncertain
		var failed *tmhttp.Error
		if errors.As(err, &failed) && !failed.Sent {
			sentinel = ErrUnavailable
		}
		return nil, fmt.Errorf("tmplatform: %s %s: %w: %w", method, path, sentinel, err)
	}
	switch resp.Status {
	case http.StatusOK, http.StatusConflict:
		if resp.BodyErr != nil {
			return nil, fmt.Errorf("tmplatform: %s %s: %w: %w", method, path, ErrUncertain, resp.BodyErr)
		}
		return resp, nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, fmt.Errorf("tmplatform: %s %s: status %d: %w", method, path, resp.Status, ErrUnavailable)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return nil, fmt.Errorf("tmplatform: %s %s: status %d: %w", method, path, resp.Status, ErrRejected)
	case http.StatusNotFound:
		return nil, fmt.Errorf("tmplatform: %s %s: %w", method, path, ErrNotFound)
	}
	return nil, fmt.Errorf("tmplatform: %s %s: status %d: %w", method, path, resp.Status, ErrUncertain)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (*tmhttp.Response, error) {
	req, err := http.NewRequest(method, c.opts.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &tmhttp.Error{Err: err}
	}
	req.Header.Set("X-Instance", c.opts.Instance)
	return c.http.Do(ctx, req, c.opts.Timeout)
}
