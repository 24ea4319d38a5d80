package tmoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
)

// maxResponseBytes is the maximum length of a response body. At the fleet size
// expected in two years a State has about 150 KB, and a history of 64 requests of
// the maximum size stays below this limit.
const maxResponseBytes = 64 << 20

// APIError is an error response of the server.
type APIError struct {
	// Status is the HTTP status.
	Status int
	// Code identifies the error, for example "conflict".
	Code    string
	Message string
	// Version is the current version in case of a conflict.
	Version  uint64
	Problems []tmchange.Problem
}

// Error returns the message and all problems, one per line.
func (e *APIError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "tmoperator: %s (%s, HTTP %d)", e.Message, e.Code, e.Status)
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.String())
	}
	return b.String()
}

// Client calls the operator server of one entry. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a Client for the server at base, for example
// "http://127.0.0.1:8401". The timeout and the TLS configuration are those of
// client.
func NewClient(base, key string, client *http.Client) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("tmoperator: operator URL %q is invalid, expected for example http://127.0.0.1:8401", base)
	}
	if key == "" || strings.ContainsAny(key, " \r\n") {
		return nil, fmt.Errorf("tmoperator: operator key is empty or contains a space or line break")
	}
	return &Client{base: strings.TrimRight(base, "/"), key: key, http: client}, nil
}

// Apply sends changes. If the error is an *APIError with a status below 500,
// nothing was stored. After any other error the changes may have been stored, and
// a retry with the same id is safe.
func (c *Client) Apply(ctx context.Context, req ChangeRequest) (ChangeStatus, error) {
	changes, err := tmcodec.EncodeChanges(req.Changes)
	if err != nil {
		return ChangeStatus{}, err
	}
	body := wireRequest{ChangeID: req.ID, BaseVersion: req.BaseVersion, Changes: changes}
	var w wireStatus
	err = c.call(ctx, http.MethodPost, "/v1/config/changes", body, &w)
	return w.decode(), err
}

// ChangeStatus returns the status of a stored request.
func (c *Client) ChangeStatus(ctx context.Context, id string) (ChangeStatus, error) {
	var w wireStatus
	err := c.call(ctx, http.MethodGet, "/v1/config/changes/"+url.PathEscape(id), nil, &w)
	return w.decode(), err
}

// Config returns the current configuration and its version.
func (c *Client) Config(ctx context.Context) (tmfleet.Config, uint64, error) {
	var w wireConfig
	if err := c.call(ctx, http.MethodGet, "/v1/config", nil, &w); err != nil {
		return tmfleet.Config{}, 0, err
	}
	config, err := tmcodec.DecodeConfig(w.Config)
	return config, w.Version, err
}

// History returns the latest versions, newest first.
func (c *Client) History(ctx context.Context) ([]Revision, error) {
	var w wireHistory
	if err := c.call(ctx, http.MethodGet, "/v1/config/history", nil, &w); err != nil {
		return nil, err
	}
	return w.decode()
}

// Move starts the move of an instance.
func (c *Client) Move(ctx context.Context, req MoveRequest) (ChangeStatus, error) {
	var w wireStatus
	body := wireMove{ChangeID: req.ID, Instance: req.Instance, Pool: req.Pool}
	err := c.call(ctx, http.MethodPost, "/v1/moves", body, &w)
	return w.decode(), err
}

// StartWave starts a maintenance wave.
func (c *Client) StartWave(ctx context.Context, req WaveRequest) (WaveStatus, error) {
	var w wireWave
	err := c.call(ctx, http.MethodPost, "/v1/waves", wireWaveRequest(req), &w)
	return w.decode(), err
}

// Wave returns the progress of one wave.
func (c *Client) Wave(ctx context.Context, name string) (WaveStatus, error) {
	var w wireWave
	err := c.call(ctx, http.MethodGet, "/v1/waves/"+url.PathEscape(name), nil, &w)
	return w.decode(), err
}

// Waves returns the latest waves, newest first.
func (c *Client) Waves(ctx context.Context) ([]WaveStatus, error) {
	var w wireWaves
	err := c.call(ctx, http.MethodGet, "/v1/waves", nil, &w)
	list := make([]WaveStatus, 0, len(w.Waves))
	for _, wave := range w.Waves {
		list = append(list, wave.decode())
	}
	return list, err
}

// StopWave prevents a wave from starting on further instances.
func (c *Client) StopWave(ctx context.Context, name string) (WaveStatus, error) {
	var w wireWave
	err := c.call(ctx, http.MethodPost, "/v1/waves/"+url.PathEscape(name)+"/stop", nil, &w)
	return w.decode(), err
}

// Dump returns the state of the entry as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	err := c.call(ctx, http.MethodGet, "/v1/dump", nil, &raw)
	return raw, err
}

// call sends body as JSON, unless it is nil, and decodes the response into out.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("tmoperator: encode request: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return fmt.Errorf("tmoperator: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("tmoperator: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return fmt.Errorf("tmoperator: read response: %w", err)
	}
	if len(data) > maxResponseBytes {
		return fmt.Errorf("tmoperator: response has more than %d bytes", maxResponseBytes)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return apiError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("tmoperator: decode response: %w", err)
	}
	return nil
}

func apiError(status int, data []byte) error {
	var w wireErrorBody
	if err := json.Unmarshal(data, &w); err != nil || w.Error.Code == "" {
		w.Error = wireError{Code: "unknown", Message: strings.TrimSpace(http.StatusText(status))}
	}
	return &APIError{
		Status:   status,
		Code:     w.Error.Code,
		Message:  w.Error.Message,
		Version:  w.Error.Version,
		Problems: decodeProblems(w.Error.Problems),
	}
}
