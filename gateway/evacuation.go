package gateway

import (
	"maps"
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
)

// evacuations are the failure domains that the operator has evacuated. Guarded by the
// gateway's lock.
type evacuations struct {
	named wardturn.Evacuations // as the store has them
	// kept were in force when the store came back from an older copy, which may lack them.
	// Until the operator has had time to write them again they stay so: else requests would
	// go where he has been told that none do.
	kept  wardturn.Evacuations
	until time.Time
}

// inForce returns the failure domains whose upstreams are to get no requests.
func (e *evacuations) inForce() wardturn.Evacuations {
	domains := make(wardturn.Evacuations, len(e.named)+len(e.kept))
	maps.Copy(domains, e.named)
	maps.Copy(domains, e.kept)
	return domains
}

// evacuate puts a change of the operator's evacuations in force; the lock is held.
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

// setEvacuated puts the evacuations in force; the lock is held.
func (g *Gateway) setEvacuated(now time.Time, out *decide.Moves) {
	domains := g.evacuated.inForce()
	g.fleet.SetEvacuated(now, domains, out)
	g.logger.Info("evacuations in force", "domains", slices.Sorted(maps.Keys(domains)))
}

// endKept ends the evacuations that were kept and that the operator has not written again.
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
