package decide

import (
	"time"

	"wardturn"
)

// Report applies a fresh report of the engine.
func (p *Placement) Report(now time.Time, st wardturn.EngineState) {
	p.state = st
	p.known = true
	p.reportedAt = now
	p.dropOrphaned()
	p.loads.report(now, st)
	held := make(map[wardturn.ModelAdapter]bool)
	for _, m := range st.Models {
		for _, a := range m.Adapters {
			held[a.Key()] = true
			if _, ok := p.readyAt[a.Key()]; !ok {
				p.readyAt[a.Key()] = now
				p.markLate(now, a.Key())
			}
		}
	}
	for key := range p.readyAt {
		if !held[key] {
			delete(p.readyAt, key)
			delete(p.evictionAnnouncedAt, key)
			delete(p.lateOnly, key)
		}
	}
}

// EngineRestarted resets the state after a restart of the engine: it holds no adapters and
// runs no requests.
func (p *Placement) EngineRestarted() {
	clear(p.evictionAnnouncedAt)
	clear(p.readyAt)
	clear(p.orphaned)
	clear(p.loads.since)
	clear(p.lateOnly)
	for _, u := range p.uses {
		clear(u.running)
	}
	p.known = false
}

// EngineLost marks the state as unknown because the engine does not respond.
func (p *Placement) EngineLost() {
	p.known = false
}

// Known reports whether the engine's state is known.
func (p *Placement) Known() bool {
	return p.known
}

// State returns the latest report.
func (p *Placement) State() wardturn.EngineState {
	return p.state
}
