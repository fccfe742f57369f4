package gateway

import (
	"time"

	"wardturn"
)

const (
	// saveInterval is the least time between two writes of the fleet facts to the store.
	saveInterval = 10 * time.Second
	// saveThreshold is the fraction by which a fact must have changed to be written again.
	saveThreshold = 0.25
	// restoreAttempts is the number of attempts to read the record; without it the facts
	// are learned anew.
	restoreAttempts      = 3
	restoreRetryInterval = 300 * time.Millisecond
)

// restoreFleetFacts restores what earlier gateways knew about the fleet from the store.
// After a power loss all engines are empty, and without the window of concurrent adapter
// loads requests would wait while it grows again to what the store can serve. From the
// number of gateways a new one knows its share of usage caps before it has received
// messages of the others.
func (g *Gateway) restoreFleetFacts() {
	for range restoreAttempts {
		facts, err := g.factStore.ReadFleetFacts()
		if err == nil {
			g.mu.Lock()
			g.fleet.RestoreWindow(facts.LoadWindow)
			g.limits.state.SetPreviousGateways(g.clock.Now(), facts.Gateways)
			g.mu.Unlock()
			g.caps.setPreviousGateways(facts.Gateways)
			g.savedFacts = facts
			g.logger.Info("window of loads recalled", "window", facts.LoadWindow, "gateways", facts.Gateways)
			return
		}
		g.logger.Warn("failed to read the window of loads from the store", "error", err)
		if !g.tasks.Sleep(restoreRetryInterval) {
			return
		}
	}
}

// saveFleetFacts writes the fleet facts to the store if they have changed significantly.
// All gateways know the same, so only the one that reads the configuration for the others
// writes them.
func (g *Gateway) saveFleetFacts() {
	if !g.reads.readsForAll() {
		return
	}
	if g.storeRestored.Swap(false) {
		g.savedFacts = wardturn.FleetFacts{}
	}
	facts := g.savedFacts
	g.mu.Lock()
	if window, known := g.fleet.LearnedWindow(); known {
		facts.LoadWindow = window
	}
	if n := g.fleet.ReportedGateways(); n > 0 && g.dividesByGateways() {
		facts.Gateways = n
	}
	g.mu.Unlock()
	if !changedSignificantly(facts.LoadWindow, g.savedFacts.LoadWindow) && !changedSignificantly(facts.Gateways, g.savedFacts.Gateways) {
		return
	}
	if err := g.factStore.WriteFleetFacts(facts); err != nil {
		g.logger.Warn("failed to write the window of loads to the store", "window", facts.LoadWindow, "gateways", facts.Gateways, "error", err)
		return
	}
	g.savedFacts = facts
	g.logger.Info("window of loads remembered", "window", facts.LoadWindow, "gateways", facts.Gateways)
}

// dividesByGateways reports whether the gateways divide something by their number from
// their start on: usage caps of teams, or the request rate of cold upstreams. Otherwise
// the number of gateways is not worth a call to the store.
func (g *Gateway) dividesByGateways() bool {
	rs := g.routes.Load()
	if rs == nil {
		return false
	}
	for _, s := range rs.table.Services {
		if s.ColdRate > 0 {
			return true
		}
	}
	return rs.table.HasTeams
}

// hasTeams reports whether the configuration has teams. Without any there are no usage caps
// to share.
func (g *Gateway) hasTeams() bool {
	rs := g.routes.Load()
	return rs != nil && rs.table.HasTeams
}

// changedSignificantly reports whether a fact has changed enough to be written to the
// store.
func changedSignificantly(value, previous int) bool {
	change := max(value-previous, previous-value)
	return float64(change) > saveThreshold*float64(previous)
}
