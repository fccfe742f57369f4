package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

const (
	// begunEvery is how often keepers are asked for requests whose begin does not show,
	// from when a newer version is named until the begin is known. A request that begins
	// later than this before its version's end may be broken off while it runs.
	begunEvery = 50 * time.Millisecond
	// begunGrace is how long after the end of a version the last word on such requests
	// may take. The bound is 500 ms after that end, and a keeper answers within a few
	// milliseconds; one that says nothing for so long is frozen or cut off.
	begunGrace = 200 * time.Millisecond
)

// checkBegun asks keepers which of the requests whose begin does not show have begun on a
// version that a newer one has replaced, and breaks those off whose time has passed.
//
// Without the keepers' word all of them have to be treated alike: if they go on, those
// that are held up begin on an old version, and if they are broken off, so are those that
// run.
func (g *Gateway) checkBegun() {
	if n := g.unbegun.breakOffDue(g.clock.Now()); n > 0 {
		g.metrics.oldEnded.Inc(int64(n))
		g.logger.Info("begins not told in time", "broken_off", n)
	}
	for id, ids := range g.unknownBegins() {
		if l := g.links.of(id); l != nil {
			l.send(&peer.BegunAsk{
				IDs: ids,
			})
		}
	}
}

// unknownBegins returns the requests that may begin on a version that a newer one has
// replaced, by upstream.
func (g *Gateway) unknownBegins() map[wardturn.UpstreamID][]string {
	sends := g.unbegun.unknown()
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

// endOlder ends the versions before a newer one: what has not begun on them is broken off.
func (g *Gateway) endOlder(newer wardturn.AdapterVersion) {
	n, unknown := g.unbegun.breakOffOlder(newer, g.clock.Now())
	g.metrics.oldEnded.Inc(int64(n))
	g.logger.Info("older versions serve no more", "adapter", newer.Adapter, "newer", newer.Version, "broken_off", n, "unknown", unknown)
	if unknown > 0 {
		g.checkBegun()
	}
}
