package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

const (
	// startedQueryInterval is how often keepers are asked whether requests without a
	// streamed response have started, from when a newer version is published until the
	// start is known. A request that starts in the last interval before its version is
	// retired may be aborted while it runs.
	startedQueryInterval = 50 * time.Millisecond
	// startedGrace is how long after a version is retired the keepers' last reports on
	// such requests may take. The required bound on starts is 500 ms after the
	// retirement. A keeper responds within a few milliseconds; one that is silent for
	// this long is frozen or partitioned.
	startedGrace = 200 * time.Millisecond
)

// queryStarted asks keepers which requests without a streamed response have started on a
// superseded version, and aborts those whose start was not reported in time.
//
// Without these reports the gateway would have to treat all such requests alike: if it
// let them continue, delayed ones could still start on the old version, and if it aborted
// them, running ones would be lost.
func (g *Gateway) queryStarted() {
	if n := g.pendingSends.abortOverdue(g.clock.Now()); n > 0 {
		g.metrics.oldVersionAborted.Inc(int64(n))
		g.logger.Info("begins not told in time", "broken_off", n)
	}
	for id, ids := range g.unconfirmedStarts() {
		if l := g.links.linkTo(id); l != nil {
			l.send(&peer.StartedQuery{
				IDs: ids,
			})
		}
	}
}

// unconfirmedStarts returns the attempt ids of the requests that may still start on a
// superseded version, by upstream.
func (g *Gateway) unconfirmedStarts() map[wardturn.UpstreamID][]string {
	sends := g.pendingSends.unconfirmed()
	if len(sends) == 0 {
		return nil
	}
	ids := make(map[wardturn.UpstreamID][]string)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range sends {
		if _, _, ok := g.fleet.Superseded(s.key, s.version); ok {
			ids[s.upstream] = append(ids[s.upstream], s.attempt)
		}
	}
	return ids
}

// retireOlder retires the versions before a newer one: it aborts the sends that have not
// started on them.
func (g *Gateway) retireOlder(newer wardturn.AdapterVersion) {
	n, unconfirmed := g.pendingSends.abortOlder(newer, g.clock.Now())
	g.metrics.oldVersionAborted.Inc(int64(n))
	g.logger.Info("older versions serve no more", "adapter", newer.Adapter, "newer", newer.Version, "broken_off", n, "unknown", unconfirmed)
	if unconfirmed > 0 {
		g.queryStarted()
	}
}
