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

// Accept calls handle for each connection that a listener accepts, until the listener is closed or
// ctx is done. After other errors, such as too many open files, it goes on; failed is called once for
// the first of several in a row.
func Accept(ctx context.Context, ln net.Listener, clock wardturn.Clock, failed func(error), handle func(net.Conn)) {
	failing := false
	for ctx.Err() == nil {
		c, err := ln.Accept()
		switch {
		case err == nil:
			failing = false
			handle(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			if !failing {
				failed(err)
			}
			failing = true
			wardturn.Sleep(ctx, clock, acceptRetryDelay)
		}
	}
}
