// Package tmowner runs the fleet while this node owns it: it loads the stored
// jobs into a tmcontrol.Controller, feeds it, stores what it decides and sends
// its orders.
package tmowner

import (
	"context"
	"errors"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/io/tmtable"
)

// Errors of an EndpointClient's Hold.
var (
	// ErrFenced means that the endpoint has seen a higher fencing token.
	ErrFenced = errors.New("tmowner: fenced")
	// ErrOtherLife means that another endpoint lives at the address.
	ErrOtherLife = errors.New("tmowner: another endpoint is at the address")
)

// EndpointClient calls endpoints.
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

// Advisor asks the placement policy. It returns a ticket for each endpoint
// that may run the step, and how long tickets are valid.
type Advisor interface {
	Advise(ctx context.Context, step string, endpoints []string) (map[string]string, tmclock.Span, error)
}

// Directory translates rows that the operator and the endpoints write.
type Directory interface {
	// EndpointTable returns the table with the list of endpoints.
	EndpointTable() string
	// Endpoint reads an entry of that list.
	Endpoint(row tmtable.Row) (tmcontrol.EndpointInfo, error)
	// WaveStatus returns the row that reports a wave.
	WaveStatus(wave string, completed bool) tmtable.Put
}
