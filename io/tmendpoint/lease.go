package tmendpoint

import (
	"context"
	"fmt"
	"net/http"

	"turmericmoor/core/tmclock"
)

// State is the operating state of an endpoint.
type State int

// The states of an endpoint. Only a Serving endpoint starts tasks.
const (
	Serving State = iota
	Draining
	Rebooting
)

var stateNames = [...]string{"serving", "draining", "rebooting"}

// String returns the name of the state in the protocol.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state_%d", int(s))
	}
	return stateNames[s]
}

// ParseState returns the State with the given name.
func ParseState(name string) (State, error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return 0, fmt.Errorf("tmendpoint: unknown state %q, expected one of %v", name, stateNames)
}

// Grant is the result of a lease request or renewal.
type Grant struct {
	Lease string
	// Nonce must be sent with task starts. The endpoint accepts it for at most TTL
	// after issuing it, measured by the endpoint's clock.
	Nonce string
	// Slots is the number of granted slots, never less than the number of tasks
	// that run under the lease.
	Slots int
	// Free is the number of slots that are not leased to anyone.
	Free  int
	State State
	TTL   tmclock.Span
}

type wireLease struct {
	Holder string `json:"holder,omitempty"`
	Slots  int    `json:"slots"`
}

type wireGrant struct {
	Lease string `json:"lease"`
	Nonce string `json:"nonce"`
	Slots int    `json:"slots"`
	Free  int    `json:"free"`
	State string `json:"state"`
	TTLMs int64  `json:"ttl_ms"`
}

func (w wireGrant) decode() (Grant, error) {
	state, err := ParseState(w.State)
	if err != nil {
		return Grant{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if w.Lease == "" || w.Nonce == "" || w.Slots < 0 || w.Free < 0 || w.TTLMs <= 0 {
		return Grant{}, fmt.Errorf("tmendpoint: malformed grant: %w", ErrUnavailable)
	}
	return Grant{
		Lease: w.Lease,
		Nonce: w.Nonce,
		Slots: w.Slots,
		Free:  w.Free,
		State: state,
		TTL:   tmclock.Span(w.TTLMs),
	}, nil
}

// Lease requests slots from the endpoint. The holder must be unique for each start
// of an entry process. The error wraps ErrUnavailable; the endpoint may then still
// reserve slots for the holder until the lease expires.
func (c *Client) Lease(ctx context.Context, address, holder string, slots int) (Grant, error) {
	var w wireGrant
	if err := c.call(ctx, http.MethodPost, address, "/v1/leases", wireLease{Holder: holder, Slots: slots}, &w); err != nil {
		return Grant{}, err
	}
	return w.decode()
}

// Renew extends the lease, sets its requested number of slots and returns a new
// nonce. The error wraps ErrLeaseEnded or ErrUnavailable. If the response is lost,
// earlier nonces remain valid for the rest of their TTL.
func (c *Client) Renew(ctx context.Context, address, lease string, slots int) (Grant, error) {
	var w wireGrant
	if err := c.call(ctx, http.MethodPost, address, leasePath(lease, "/renew"), wireLease{Slots: slots}, &w); err != nil {
		return Grant{}, err
	}
	if w.Lease != lease {
		return Grant{}, fmt.Errorf("tmendpoint: %s: response is for lease %q, expected %q: %w", address, w.Lease, lease, ErrUnavailable)
	}
	return w.decode()
}

// Release ends the lease. Running tasks keep their slots until they end or their
// grace period has passed. The error wraps ErrLeaseEnded or ErrUnavailable.
func (c *Client) Release(ctx context.Context, address, lease string) error {
	return c.call(ctx, http.MethodDelete, address, leasePath(lease, ""), nil, nil)
}
