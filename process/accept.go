package process

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// acceptRetryDelay is the delay after a failed Accept. Descriptors become free as connections end.
const acceptRetryDelay = 20 * time.Millisecond

// retryListener is a listener whose Accept fails only after Close.
type retryListener struct {
	net.Listener
	clock  wardturn.Clock
	failed func(error)
	ctx    context.Context // done after Close
	cancel context.CancelFunc
}

// RetryAccept returns a listener whose Accept fails only once it is closed. After other errors, such
// as too many open files, it tries again; failed is called for the first of several in a row.
func RetryAccept(ln net.Listener, clock wardturn.Clock, failed func(error)) net.Listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &retryListener{
		Listener: ln,
		clock:    clock,
		failed:   failed,
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for failing := false; ; failing = true {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || l.ctx.Err() != nil {
			return c, err
		}
		if !failing {
			l.failed(err)
		}
		wardturn.Sleep(l.ctx, l.clock, acceptRetryDelay)
	}
}

// Close implements net.Listener.
func (l *retryListener) Close() error {
	l.cancel()
	return l.Listener.Close()
}
