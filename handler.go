package zinniayoke

import "context"

// Handler processes a request of type Req and returns a response of type Resp.
type Handler[Req, Resp any] func(ctx context.Context, req Req) (Resp, error)

// Filter is middleware: it wraps a Handler with one step of the request path.
type Filter[Req, Resp any] func(next Handler[Req, Resp]) Handler[Req, Resp]

// Chain wraps the handler in the filters; the first filter runs first.
func Chain[Req, Resp any](handler Handler[Req, Resp], filters ...Filter[Req, Resp]) Handler[Req, Resp] {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}
