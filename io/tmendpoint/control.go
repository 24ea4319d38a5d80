package tmendpoint

import (
	"context"
	"fmt"
	"net/http"

	"turmericmoor/core/tmclock"
)

// Usage is a usage report of an endpoint.
type Usage struct {
	// Age is the time since the usage was measured.
	Age   tmclock.Span
	Tasks []TaskUsage
}

// TaskUsage is the resource usage of one running task.
type TaskUsage struct {
	Attempt  string
	Team     string
	Cores    float64
	MemoryMB float64
}

// Report is the state that an endpoint reports.
type Report struct {
	State   State
	Running int
	// Boots is the number of times that the endpoint has started. A reboot is
	// complete when Boots has increased and the state is Serving.
	Boots int
}

type wireRunning struct {
	WasRunning bool `json:"was_running"`
}

type wireUsage struct {
	AsOfMsAgo int64           `json:"as_of_ms_ago"`
	Tasks     []wireTaskUsage `json:"tasks"`
}

type wireTaskUsage struct {
	Attempt  string  `json:"attempt"`
	Team     string  `json:"team"`
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
}

type wireReport struct {
	State   string `json:"state"`
	Running int    `json:"running"`
	Boots   int    `json:"boots"`
}

// Stop stops a task and reports whether it was running. If the error is nil, the
// task is no longer running. The error wraps ErrUnavailable.
func (c *Client) Stop(ctx context.Context, address, attempt string) (bool, error) {
	return c.postTask(ctx, address, attempt, "stop")
}

// Checkpoint saves a task, stops it and reports whether it was running. A later
// start with the same request id resumes it. The error wraps ErrUnavailable.
func (c *Client) Checkpoint(ctx context.Context, address, attempt string) (bool, error) {
	return c.postTask(ctx, address, attempt, "checkpoint")
}

// Throttle slows a task down and reports whether it was running. The error
// wraps ErrUnavailable.
func (c *Client) Throttle(ctx context.Context, address, attempt string) (bool, error) {
	return c.postTask(ctx, address, attempt, "throttle")
}

func (c *Client) postTask(ctx context.Context, address, attempt, action string) (bool, error) {
	var w wireRunning
	err := c.call(ctx, http.MethodPost, address, taskPath(attempt, action), nil, &w)
	return w.WasRunning, err
}

// Usage returns the latest usage report, which lags behind by Usage.Age. The error
// wraps ErrUnavailable.
func (c *Client) Usage(ctx context.Context, address string) (Usage, error) {
	var w wireUsage
	if err := c.call(ctx, http.MethodGet, address, "/v1/usage", nil, &w); err != nil {
		return Usage{}, err
	}
	tasks := make([]TaskUsage, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		tasks = append(tasks, TaskUsage(t))
	}
	return Usage{Age: tmclock.Span(w.AsOfMsAgo), Tasks: tasks}, nil
}

// Drain makes the endpoint reject new tasks. The error wraps ErrUnavailable.
func (c *Client) Drain(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodPost, address, "/v1/drain", nil, nil)
}

// Undrain makes the endpoint accept tasks again. The error wraps ErrUnavailable.
func (c *Client) Undrain(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodPost, address, "/v1/undrain", nil, nil)
}

// Reboot restarts the endpoint, which stops its tasks and ends its leases. The
// error wraps ErrUnavailable.
func (c *Client) Reboot(ctx context.Context, address string) error {
	return c.call(ctx, http.MethodPost, address, "/v1/reboot", nil, nil)
}

// State returns the state that the endpoint reports. The error wraps
// ErrUnavailable.
func (c *Client) State(ctx context.Context, address string) (Report, error) {
	var w wireReport
	if err := c.call(ctx, http.MethodGet, address, "/v1/state", nil, &w); err != nil {
		return Report{}, err
	}
	state, err := ParseState(w.State)
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return Report{State: state, Running: w.Running, Boots: w.Boots}, nil
}
