package tmendpoint

import (
	"context"
	"fmt"
	"net/http"

	"turmericmoor/core/tmclock"
)

// State is what an endpoint reports about itself.
type State int

// The states. Only a Serving endpoint starts tasks.
const (
	Serving State = iota
	Draining
	Rebooting
)

var stateNames = [...]string{"serving", "draining", "rebooting"}

// String returns the name in the protocol.
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

// Grant is the answer to a lease or renewal.
type Grant struct {
	Lease string
	// Nonce is to be quoted by starts. The endpoint takes it for at most TTL
	// after it was issued, by its own clock.
	Nonce string
	// Slots is the number granted, never less than the tasks that run under
	// the lease.
	Slots int
	// Free is the number of slots that nobody holds.
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

// Lease asks the endpoint for slots. The holder must be unique for each start
// of an entry process. The error wraps ErrUnavailable; the endpoint may then
// hold slots for the holder until the time of the lease has passed.
func (c *Client) Lease(ctx context.Context, address, holder string, slots int) (Grant, error) {
	var w wireGrant
	if err := c.call(ctx, http.MethodPost, address, "/v1/leases", wireLease{Holder: holder, Slots: slots}, &w); err != nil {
		return Grant{}, err
	}
	return w.decode()
}

// Renew keeps the lease, asks for another number of slots and gets a new
// nonce. The error wraps ErrLeaseEnded or ErrUnavailable. After a lost answer
// earlier nonces stay valid for the rest of their time.
func (c *Client) Renew(ctx context.Context, address, lease string, slots int) (Grant, error) {
	var w wireGrant
	if err := c.call(ctx, http.MethodPost, address, leasePath(lease, "/renew"), wireLease{Slots: slots}, &w); err != nil {
		return Grant{}, err
	}
	if w.Lease != lease {
		return Grant{}, fmt.Errorf("tmendpoint: %s: answer for lease %q instead of %q: %w", address, w.Lease, lease, ErrUnavailable)
	}
	return w.decode()
}

// Release gives the lease back. Running tasks keep their slots until they end
// or their grace has passed. The error wraps ErrLeaseEnded or ErrUnavailable.
func (c *Client) Release(ctx context.Context, address, lease string) error {
	return c.call(ctx, http.MethodDelete, address, leasePath(lease, ""), nil, nil)
}
