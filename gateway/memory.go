package gateway

import (
	"time"

	"wardturn"
)

const (
	// rememberEvery is the least time between two records of what gateways know.
	rememberEvery = 10 * time.Second
	// rememberChange is the part by which one of the facts must have changed for that.
	rememberChange = 0.25
	// recallTries is how often the record is asked for; without it the facts are learned
	// anew.
	recallTries = 3
	recallPause = 300 * time.Millisecond
)

// recallFleet takes what gateways knew before all of them ended. After a loss of power the
// engines are empty, and requests would wait while the window of loads widens anew to what
// the store serves. By the number of gateways a new one knows its part of usage caps before
// it hears the others.
func (g *Gateway) recallFleet() {
	for range recallTries {
		facts, err := g.memory.RecallFleet()
		if err == nil {
			g.mu.Lock()
			g.fleet.RecallWindow(facts.Window)
			g.limits.state.Recall(g.clock.Now(), facts.Gateways)
			g.mu.Unlock()
			g.caps.recall(facts.Gateways)
			g.remembered = facts
			g.logger.Info("window of loads recalled", "window", facts.Window, "gateways", facts.Gateways)
			return
		}
		g.logger.Warn("window of loads not recalled", "error", err)
		if !g.tasks.Pause(recallPause) {
			return
		}
	}
}

// rememberFleet records what this gateway knows if that has changed much. Only the one
// that reads the configuration for the others does: all know the same.
func (g *Gateway) rememberFleet() {
	if !g.news.readsForAll() {
		return
	}
	if g.returned.Swap(false) {
		g.remembered = wardturn.FleetFacts{}
	}
	facts := g.remembered
	g.mu.Lock()
	if window, learned := g.fleet.LearnedWindow(); learned {
		facts.Window = window
	}
	if n := g.fleet.CountedGateways(); n > 0 && g.sharesByNumber() {
		facts.Gateways = n
	}
	g.mu.Unlock()
	if !changedMuch(facts.Window, g.remembered.Window) && !changedMuch(facts.Gateways, g.remembered.Gateways) {
		return
	}
	if err := g.memory.RememberFleet(facts); err != nil {
		g.logger.Warn("window of loads not remembered", "window", facts.Window, "gateways", facts.Gateways, "error", err)
		return
	}
	g.remembered = facts
	g.logger.Info("window of loads remembered", "window", facts.Window, "gateways", facts.Gateways)
}

// sharesByNumber reports whether gateways share something by their number from their start
// on: caps of teams, or what cold upstreams bear.
func (g *Gateway) sharesByNumber() bool {
	rs := g.routes.Load()
	if rs == nil {
		return false
	}
	for _, s := range rs.table.Services {
		if s.ColdRate > 0 {
			return true
		}
	}
	return rs.table.Keyed
}

// keyed reports whether the configuration has teams: without any, the number of gateways
// is not worth a call of the store.
func (g *Gateway) keyed() bool {
	rs := g.routes.Load()
	return rs != nil && rs.table.Keyed
}

// changedMuch reports whether a fact is worth a call of the store.
func changedMuch(now, before int) bool {
	change := max(now-before, before-now)
	return float64(change) > rememberChange*float64(before)
}
