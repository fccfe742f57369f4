package gateway

import (
	"maps"
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
)

// evacuations holds the failure domains that the operator has evacuated: their upstreams
// receive no requests. It is guarded by Gateway.mu.
type evacuations struct {
	named wardturn.Evacuations // as recorded in the store
	// kept were in force when the store was restored from an older copy, which may lack
	// them. They stay in force until the operator has had time to write them again.
	// Otherwise requests would go to domains that were reported to the operator as empty.
	kept  wardturn.Evacuations
	until time.Time
}

// inForce returns the failure domains whose upstreams must receive no requests.
func (e *evacuations) inForce() wardturn.Evacuations {
	domains := make(wardturn.Evacuations, len(e.named)+len(e.kept))
	maps.Copy(domains, e.named)
	maps.Copy(domains, e.kept)
	return domains
}

// evacuate applies the evacuations in a configuration change. The caller must hold g.mu.
func (g *Gateway) evacuate(now time.Time, c wardturn.ConfigChange, out *decide.Moves) {
	if c.Returned {
		g.evacuated.kept = g.evacuated.inForce()
		g.evacuated.until = now.Add(g.cfg.LapseGrace)
	}
	if c.Evacuated == nil {
		return
	}
	g.evacuated.named = c.Evacuated
	g.setEvacuated(now, out)
}

// setEvacuated applies the evacuations in force to the fleet. The caller must hold g.mu.
func (g *Gateway) setEvacuated(now time.Time, out *decide.Moves) {
	domains := g.evacuated.inForce()
	g.fleet.SetEvacuated(now, domains, out)
	g.logger.Info("evacuations in force", "domains", slices.Sorted(maps.Keys(domains)))
}

// endKept ends retained evacuations that the operator has not written again in time.
func (g *Gateway) endKept() {
	g.decide(func(now time.Time, out *decide.Moves) {
		e := &g.evacuated
		if e.kept == nil || now.Before(e.until) {
			return
		}
		changed := !maps.Equal(e.inForce(), e.named)
		e.kept = nil
		if changed {
			g.setEvacuated(now, out)
		}
	})
}
