package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

const (
	// startedQueryInterval is how often keepers are asked for requests whose start does not show,
	// from when a newer version is named until the start is known. A request that starts
	// later than this before its version's end may be broken off while it runs.
	startedQueryInterval = 50 * time.Millisecond
	// startedGrace is how long after the end of a version the last word on such requests
	// may take. The bound is 500 ms after that end, and a keeper answers within a few
	// milliseconds; one that says nothing for so long is frozen or cut off.
	startedGrace = 200 * time.Millisecond
)

// queryStarted asks keepers which of the requests whose start does not show have started on a
// version that a newer one has replaced, and breaks those off whose time has passed.
//
// Without the keepers' word all of them have to be treated alike: if they go on, those
// that are held up start on an old version, and if they are broken off, so are those that
// run.
func (g *Gateway) queryStarted() {
	if n := g.notStarted.breakOffDue(g.clock.Now()); n > 0 {
		g.metrics.oldEnded.Inc(int64(n))
		g.logger.Info("begins not told in time", "broken_off", n)
	}
	for id, ids := range g.unknownStarts() {
		if l := g.links.of(id); l != nil {
			l.send(&peer.StartedQuery{
				IDs: ids,
			})
		}
	}
}

// unknownStarts returns the requests that may start on a version that a newer one has
// replaced, by upstream.
func (g *Gateway) unknownStarts() map[wardturn.UpstreamID][]string {
	sends := g.notStarted.unknown()
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

// endOlder ends the versions before a newer one: what has not started on them is broken off.
func (g *Gateway) endOlder(newer wardturn.AdapterVersion) {
	n, unknown := g.notStarted.breakOffOlder(newer, g.clock.Now())
	g.metrics.oldEnded.Inc(int64(n))
	g.logger.Info("older versions serve no more", "adapter", newer.Adapter, "newer", newer.Version, "broken_off", n, "unknown", unknown)
	if unknown > 0 {
		g.queryStarted()
	}
}
