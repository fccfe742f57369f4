package gateway

import (
	"maps"
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
)

// evacuate puts the operator's evacuations of failure domains in force; nil: unchanged. The
// lock is held.
func (g *Gateway) evacuate(now time.Time, domains wardturn.Evacuations, out *decide.Moves) {
	if domains == nil {
		return
	}
	g.fleet.SetEvacuated(now, domains, out)
	g.logger.Info("evacuations in force", "domains", slices.Sorted(maps.Keys(domains)))
}
