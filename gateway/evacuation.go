package gateway

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"wardturn"
	"wardturn/decide"
)

// mostCold bounds how long one answer may name its upstream as cold.
const mostCold = time.Minute

// evacuate puts the operator's evacuations of failure domains in force; nil: unchanged. The
// lock is held.
func (g *Gateway) evacuate(now time.Time, domains wardturn.Evacuations, out *decide.Moves) {
	if domains == nil {
		return
	}
	g.fleet.SetEvacuated(now, domains, out)
	g.evacuated.Store(&domains)
	g.logger.Info("evacuations in force", "domains", slices.Sorted(maps.Keys(domains)))
}

// isEvacuated reports whether the upstreams of a failure domain are to get no requests.
func (g *Gateway) isEvacuated(d wardturn.FailureDomain) bool {
	domains := g.evacuated.Load()
	return domains != nil && (*domains)[d]
}

// sawCold takes what an answer says of how much longer its upstream is cold, in
// milliseconds.
func (g *Gateway) sawCold(id wardturn.UpstreamID, text string) {
	left, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		g.logger.Warn("time of a cold upstream not understood", "upstream", id, "error", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.SawCold(g.clock.Now(), id, min(time.Duration(left)*time.Millisecond, mostCold))
}
