package zinniayoke

import "context"

// Handler answers a request of type Q with an answer of type A.
type Handler[Q, A any] func(ctx context.Context, q Q) (A, error)

// Filter wraps a Handler with one step of the request path.
type Filter[Q, A any] func(next Handler[Q, A]) Handler[Q, A]

// Pipe puts the filters before the handler; the first filter runs first.
func Pipe[Q, A any](last Handler[Q, A], filters ...Filter[Q, A]) Handler[Q, A] {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}
