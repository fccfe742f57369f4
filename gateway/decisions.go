package gateway

import (
	"time"

	"wardturn"
	"wardturn/decide"
)

// tick reschedules the waiting requests.
func (g *Gateway) tick() {
	g.decide(func(now time.Time, out *decide.Actions) {
		g.fleet.Tick(now, out)
	})
}

// decide runs f with g.mu held and carries out the resulting actions.
func (g *Gateway) decide(f func(now time.Time, out *decide.Actions)) {
	var out decide.Actions
	g.mu.Lock()
	f(g.clock.Now(), &out)
	reports := g.fleet.PrefillReports()
	g.mu.Unlock()
	g.links.sendPrefillReports(reports)
	g.execute(out)
}

// execute carries out the actions of a decision. It must be called without g.mu held.
func (g *Gateway) execute(out decide.Actions) {
	for _, l := range out.CompletedLoads {
		g.metrics.loadDone(l)
		g.logger.Info("adapter there", "adapter", l.Adapter.Adapter, "version", l.Adapter.Version, "upstream", l.Upstream, "took", l.Took, "waited", l.Waited, "warm", l.Warm, "cause", l.Cause, "window", l.Window, "under_way", l.InFlight)
	}
	for _, v := range out.EnforcedVersions {
		g.retireOlder(v)
	}
	for _, id := range out.Leaving {
		g.logger.Info("upstream says that it leaves", "upstream", id)
	}
	g.links.sendLoadRequests(out)
}

func (g *Gateway) admit(r *decide.PendingRequest) {
	g.decide(func(now time.Time, out *decide.Actions) {
		g.fleet.Admit(now, r, out)
	})
}

func (g *Gateway) withdraw(r *decide.PendingRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Withdraw(r)
}

// endPrefill records that an upstream has finished the prefill of a prompt or will not do
// it. The parameter registered reports that the prompt was to take a turn.
func (g *Gateway) endPrefill(id wardturn.UpstreamID, prompt wardturn.Tokens, registered bool) {
	g.mu.Lock()
	if registered {
		g.fleet.TurnEnded(id, prompt)
	}
	g.fleet.ResponseStarted(id, prompt)
	reports := g.fleet.PrefillReports()
	g.mu.Unlock()
	g.links.sendPrefillReports(reports)
}

// recordPrefill records how long an upstream took to process prompts.
func (g *Gateway) recordPrefill(s wardturn.ServiceName, tokens int, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.PrefillMeasured(s, tokens, took)
}

// endSend records the end of a send to an upstream.
func (g *Gateway) endSend(x *exchange, a assignment, outcome decide.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RequestEnded(g.clock.Now(), a.Member.ID, x.key, outcome)
	g.fleet.ReleaseBody(a.Member.ID, len(x.body))
	g.fleet.AssignmentEnded(a)
}

// recordMisdirected records that another instance listens at an upstream's address.
func (g *Gateway) recordMisdirected(id wardturn.UpstreamID) {
	g.mu.Lock()
	g.fleet.IncarnationReplaced(id)
	g.mu.Unlock()
	g.markMembersStale()
}

// recordRestarted records that another lifetime of an upstream answers at its address. It
// reports whether there are other upstreams of its service that are not known to have restarted.
func (g *Gateway) recordRestarted(m wardturn.Member) (others bool) {
	g.mu.Lock()
	first := g.fleet.Restarted(m.ID)
	others = g.fleet.AnyListed(m.Service)
	g.mu.Unlock()
	if first {
		g.logger.Info("upstream has restarted, its entry is out of date", "upstream", m.ID)
		g.crashes.disappeared(m.ID)
		g.markMembersStale()
	}
	return others
}

// listsLifetime reports whether a lifetime is listed and not known to have ended.
func (g *Gateway) listsLifetime(id wardturn.UpstreamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Lists(id)
}

// recordLatency records the response time of a plain upstream.
func (g *Gateway) recordLatency(id wardturn.UpstreamID, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.ResponseTimed(g.clock.Now(), id, took)
}

// recordFull records that an upstream was at capacity, and whether it asked for a backoff.
func (g *Gateway) recordFull(id wardturn.UpstreamID, backsOff bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RefusedAsFull(g.clock.Now(), id, backsOff)
}

// accepts reports whether a request that was assigned to an upstream may still be sent to
// it.
func (g *Gateway) accepts(m wardturn.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.ConnectionAccepted(m.ID) {
		g.markMembersStale() // it may have restarted
	}
	return g.fleet.Accepts(g.clock.Now(), m)
}

// recordRefused records that an upstream's address refused a connection.
func (g *Gateway) recordRefused(id wardturn.UpstreamID) {
	g.mu.Lock()
	first := g.fleet.ConnectionRefused(g.clock.Now(), id)
	g.mu.Unlock()
	if first {
		g.logger.Info("upstream refuses connections", "upstream", id)
	}
	g.markMembersStale()
}

// recordNotHeld records that an upstream refused a request because it does not hold the
// adapter version.
func (g *Gateway) recordNotHeld(id wardturn.UpstreamID, key wardturn.ModelAdapter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.NotHeld(g.clock.Now(), id, key)
}

// versionInUse reports whether requests may start on a version of an adapter now.
func (g *Gateway) versionInUse(key wardturn.ModelAdapter, v wardturn.Version) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.VersionInUse(g.clock.Now(), key, v)
}

// superseded returns the first newer version of an adapter, and when this gateway learned
// of it.
func (g *Gateway) superseded(key wardturn.ModelAdapter, v wardturn.Version) (newer wardturn.Version, learnedAt time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Superseded(key, v)
}
