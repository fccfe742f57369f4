package driver

import "context"

// await runs f and returns its result, or the error of ctx if that ends first.
// The HTTP library cannot be told to give up a request under way; f is then left
// to end by itself, so it must own whatever it uses.
func await[T any](ctx context.Context, f func() T) (T, error) {
	ended := make(chan T, 1)
	go func() {
		ended <- f()
	}()
	select {
	case v := <-ended:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}
