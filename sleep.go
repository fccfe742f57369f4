package wardturn

import (
	"context"
	"time"
)

// Sleep waits for d, as measured by clock, and reports whether it did so: false means
// that ctx was done first.
func Sleep(ctx context.Context, clock Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	elapsed := make(chan struct{})
	timer := clock.AfterFunc(d, func() {
		close(elapsed)
	})
	defer timer.Stop()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}

// WithTimeout returns a context that is canceled after d, as measured by clock, or with its
// parent.
func WithTimeout(parent context.Context, clock Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
