package gateway

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// connect returns a connection to an upstream. For a stream that may be resumed it establishes
// which lifetime the connection leads to, since the rest of a stream may come only from the
// software version that began it. If the request resumes a stream, that must be the lifetime m.
func (x *exchange) connect(ctx context.Context, m wardturn.Member) (*upstreamConn, error) {
	for retried := false; ; retried = true {
		c, err := x.g.pool.get(ctx, m.Addr)
		if err != nil {
			err = errors.Mark(err, errNotSent)
			if errors.Is(err, syscall.ECONNREFUSED) {
				err = errors.Mark(err, errRefused)
			}
			return nil, err
		}
		if !x.needsLifetime(m) {
			return c, nil
		}
		err = x.g.lifetimes.prove(ctx, c, m.ID)
		switch {
		case err == nil:
			x.send.proved = true
			return c, nil
		case errors.Is(err, errOtherLifetime):
			if other := x.g.recordRestarted(m); x.software == nil && !other {
				return c, nil
			}
			c.returnUnused(x.g.pool)
			return nil, err
		case errors.Is(err, errOtherInstance):
			x.g.recordMisdirected(m.ID)
			x.g.crashes.disappeared(m.ID)
			c.returnUnused(x.g.pool)
			return nil, errors.Mark(err, errOtherLifetime)
		case errors.Is(err, errLifetimeUnknown):
			if x.software == nil {
				return c, nil
			}
			if x.g.lifetimes.awaitListed(ctx, m.ID, c.openedAt, listedTimeout) {
				x.send.proved = true
				return c, nil
			}
			c.returnUnused(x.g.pool)
			return nil, errors.Mark(err, errNotSent)
		}
		c.abort()
		if c.reused || !retried {
			continue // an idle connection may end at any time
		}
		if x.software != nil && !errors.Is(err, errConnectionEnds) {
			return nil, errors.Mark(err, errNotSent)
		}
		x.g.lifetimes.setSilent(m.ID)
	}
}

// needsLifetime reports whether it matters which lifetime of an upstream the request is sent to.
// Upstreams that do not report when they started have another ID after each start.
func (x *exchange) needsLifetime(m wardturn.Member) bool {
	return x.route.Resumable && m.ID.StartMS() != 0 && x.g.statesSoftware(x.service)
}
