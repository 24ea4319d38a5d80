package tmowner

import "context"

// lifetime is the context of the calls to one lifetime of an endpoint.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// lifetimeContext returns a context that ends with the current lifetime of an endpoint, or with ctx.
// The caller holds mu.
func (o *Owner) lifetimeContext(ctx context.Context, endpoint string) context.Context {
	l, ok := o.lifetimes[endpoint]
	if !ok {
		l.ctx, l.cancel = context.WithCancel(ctx)
		o.lifetimes[endpoint] = l
	}
	return l.ctx
}

// endLifetimes cancels the calls to the current lifetimes of endpoints. Those without an answer are
// then settled soon, and not delivered to the next lifetime. The caller holds mu.
func (o *Owner) endLifetimes(endpoints []string) {
	for _, id := range endpoints {
		if l, ok := o.lifetimes[id]; ok {
			l.cancel()
			delete(o.lifetimes, id)
		}
	}
}
