// Package tmowner manages the fleet while this node owns it: it loads the stored
// jobs into a tmcontrol.Controller, passes events to it, stores its decisions and
// sends its orders.
package tmowner

import (
	"context"
	"errors"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/io/tmtable"
)

// Errors returned by the Hold method of an EndpointClient.
var (
	// ErrFenced means that the endpoint has seen a higher fencing token.
	ErrFenced = errors.New("tmowner: the endpoint has seen a higher fencing token")
	// ErrOtherEndpoint means that another endpoint is at the address.
	ErrOtherEndpoint = errors.New("tmowner: another endpoint is at the address")
)

// EndpointClient sends orders to endpoints and renews their leases. Pace sets at what
// percentage of its full speed a task may work. Hold is a long poll that renews the
// lease of an endpoint and returns the endpoint's active and ended runs.
type EndpointClient interface {
	Start(ctx context.Context, o tmcontrol.StartOrder) tmcontrol.Answer
	Stop(ctx context.Context, o tmcontrol.StopOrder) tmcontrol.Answer
	Pace(ctx context.Context, o tmcontrol.PaceOrder) tmcontrol.Answer
	Hold(ctx context.Context, endpoint string, h tmcontrol.HoldRequest) (tmcontrol.HoldResponse, error)
}

// InstanceClient calls the platform's interface for instances.
type InstanceClient interface {
	List(ctx context.Context) ([]tmcontrol.Instance, error)
	Order(ctx context.Context, o tmcontrol.InstanceOrder) tmcontrol.Answer
}

// Advisor queries the placement policy. It returns a ticket for each endpoint that
// may run the step, and how long the tickets are valid. A ticket is the permit of the
// policy that a start order of the step has to carry.
type Advisor interface {
	Advise(ctx context.Context, step string, endpoints []string) (map[string]string, tmclock.Span, error)
}

// Directory decodes the rows that the operator and the endpoints write, and encodes
// the row that reports the state of a wave.
type Directory interface {
	// EndpointTable returns the table with the list of endpoints.
	EndpointTable() string
	// Endpoint decodes an entry of that list.
	Endpoint(row tmtable.Row) (tmcontrol.EndpointInfo, error)
	// WaveStatus returns the row that reports the state of a wave.
	WaveStatus(wave string, completed bool) tmtable.Put
}
