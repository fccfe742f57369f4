package driver

import "context"

// await runs f in a goroutine and returns its result. If ctx ends first, ended is
// false and err is the error of ctx. fasthttp cannot cancel a request in progress, so
// f then continues in the background and must own everything that it uses.
func await[T any](ctx context.Context, f func() (T, error)) (v T, ended bool, err error) {
	type result struct {
		v   T
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := f()
		done <- result{
			v:   v,
			err: err,
		}
	}()
	select {
	case r := <-done:
		return r.v, true, r.err
	case <-ctx.Done():
		return v, false, ctx.Err()
	}
}
