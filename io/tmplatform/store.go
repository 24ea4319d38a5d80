package tmplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

// Instance is an item of the platform's list of instances. The list is updated
// with a delay, but never omits an instance that still runs.
type Instance struct {
	Name    string
	Zone    string
	Rack    string
	Address string
	// Leaving is false for a live instance.
	Leaving bool
}

type wireInstance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Address string `json:"address"`
	State   string `json:"state"`
}

type wireInstances struct {
	Instances []wireInstance `json:"instances"`
}

// Instances returns the list of instances. The error wraps ErrUnavailable.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	body, err := c.read(ctx, "/v1/instances")
	if err != nil {
		return nil, err
	}
	var w wireInstances
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("tmplatform: instances: %w: %w", ErrUnavailable, err)
	}
	// A response without the field is malformed. Taken for an empty list, it would
	// mean that no instance exists any more.
	if w.Instances == nil {
		return nil, fmt.Errorf("tmplatform: instances: response has no list: %w", ErrUnavailable)
	}
	out := make([]Instance, 0, len(w.Instances))
	for _, i := range w.Instances {
		leaving := i.State == "leaving"
		if !leaving && i.State != "live" {
			return nil, fmt.Errorf("tmplatform: instance %q has state %q, expected live or leaving: %w", i.Name, i.State, ErrUnavailable)
		}
		out = append(out, Instance{Name: i.Name, Zone: i.Zone, Rack: i.Rack, Address: i.Address, Leaving: leaving})
	}
	return out, nil
}

// PutObject stores an object and replaces an existing one of the same name. The
// error wraps ErrUnavailable, ErrRejected or ErrUncertain.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.write(ctx, http.MethodPut, objectPath(name), data)
	return err
}

// GetObject returns the data of an object. The error wraps ErrNotFound or
// ErrUnavailable.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.read(ctx, objectPath(name))
}

// DeleteObject deletes an object. The error wraps ErrNotFound, ErrUnavailable
// or ErrUncertain.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := c.write(ctx, http.MethodDelete, objectPath(name), nil)
	return err
}

func objectPath(name string) string {
	return "/v1/objects/" + url.PathEscape(name)
}
