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
	recorded wardturn.Evacuations // as recorded in the store
	// retained were in force when the store was restored from an older copy, which may lack
	// them. They stay in force until the operator has had time to write them again.
	// Otherwise requests would go to domains that were reported to the operator as empty.
	retained      wardturn.Evacuations
	retainedUntil time.Time
}

// inForce returns the failure domains whose upstreams must receive no requests.
func (e *evacuations) inForce() wardturn.Evacuations {
	domains := make(wardturn.Evacuations, len(e.recorded)+len(e.retained))
	maps.Copy(domains, e.recorded)
	maps.Copy(domains, e.retained)
	return domains
}

// applyEvacuations applies the evacuations in a configuration change and logs them with the
// given fields. The caller must hold g.mu.
func (g *Gateway) applyEvacuations(now time.Time, c wardturn.ConfigChange, out *decide.Actions, fields ...any) {
	if c.Restored {
		g.evacuations.retained = g.evacuations.inForce()
		g.evacuations.retainedUntil = now.Add(g.cfg.ExpiryGrace)
	}
	if c.Evacuated == nil {
		return
	}
	g.evacuations.recorded = c.Evacuated
	g.setEvacuations(now, out, fields...)
}

// setEvacuations applies the evacuations in force to the fleet and logs them with the given
// fields. The caller must hold g.mu.
func (g *Gateway) setEvacuations(now time.Time, out *decide.Actions, fields ...any) {
	domains := g.evacuations.inForce()
	g.fleet.SetEvacuated(now, domains, out)
	g.logger.Info("evacuations in force", append([]any{"domains", slices.Sorted(maps.Keys(domains))}, fields...)...)
}

// endRetainedEvacuations drops the retained evacuations once the operator has had time to
// write them again.
func (g *Gateway) endRetainedEvacuations() {
	g.decide(func(now time.Time, out *decide.Actions) {
		e := &g.evacuations
		if e.retained == nil || now.Before(e.retainedUntil) {
			return
		}
		changed := !maps.Equal(e.inForce(), e.recorded)
		e.retained = nil
		if changed {
			g.setEvacuations(now, out)
		}
	})
}
