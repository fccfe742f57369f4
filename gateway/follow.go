package gateway

import (
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
)

// followConfig keeps the configuration up to date by long polls of the store.
func (g *Gateway) followConfig() {
	retryDelay := configRetryDelay
	failedReads := 0
	var failingSince time.Time
	for {
		if !g.reads.awaitRead(g.reads.config) {
			return
		}
		sent := g.clock.Now()
		g.reads.startConfigRead(sent)
		wait := g.configWait()
		apply, err := g.configSource.Poll(g.reads.currentConfigPosition(), wait)
		if err == nil {
			g.metrics.config.succeeded.Inc(1)
			if failedReads > 0 {
				g.logger.Info("store answers again", "for", "configuration", "away_for", g.clock.Now().Sub(failingSince), "failed_reads", failedReads)
			}
			failedReads = 0
			retryDelay = configRetryDelay
			g.applyRead(apply, sent, wait)
			if g.hadUpstreams.Load() {
				g.crashes.readIfStale(g.reads.readsForAll())
			}
			continue
		}
		g.metrics.config.failed.Inc(1)
		if failedReads == 0 {
			failingSince = sent
			g.logger.Warn("store away, the present configuration stays", "error", err)
		}
		failedReads++
		g.reads.readFailed(g.reads.config)
		if !g.tasks.Sleep(retryDelay) {
			return
		}
		retryDelay = min(2*retryDelay, configMaxRetryDelay)
	}
}

// applyRead applies the result of a poll that was sent at a time with a wait.
func (g *Gateway) applyRead(apply func() wardturn.ConfigChange, sent time.Time, wait time.Duration) {
	returnedAt := g.clock.Now() // before waiting for the lock: the store answered earlier
	g.configMu.Lock()
	defer g.configMu.Unlock()
	change := apply()
	if change.Restored {
		g.handleStoreRestored()
	}
	g.apply(change, g.reads.configCurrentAt(), "")
	found := change.Read.To > change.Read.From
	// Recorded last, so that a configuration known as of a time is also in force as of that
	// time.
	g.reads.finishConfigRead(configAsOf(sent, wait, returnedAt, change, found), change)
}

// handleStoreRestored triggers a rewrite of records that the store may have lost when it
// was restored from an older copy.
func (g *Gateway) handleStoreRestored() {
	g.storeRestored.Store(true)
	signal(g.crashes.readSignal)
}

// configWait returns the wait of a long poll of the configuration. While no upstream is
// registered, there is no keeper to forward announcements, so every gateway polls; longer
// waits then limit the load on the store.
func (g *Gateway) configWait() time.Duration {
	if g.membersRead.Load() && !g.hadUpstreams.Load() {
		return configIdleWait
	}
	return configWait
}

// configAsOf returns a time as of which the result of a configuration read is current. A
// long poll that found nothing is current as of the end of its wait. One that returned
// sooner, or found a record, even if that changes nothing here, is current as of the time it
// was sent.
func configAsOf(sent time.Time, wait time.Duration, returnedAt time.Time, c wardturn.ConfigChange, found bool) time.Time {
	waited := sent.Add(wait)
	if found || c.Table != nil || len(c.Versions) > 0 || returnedAt.Before(waited) {
		return sent
	}
	return waited
}

// apply applies a change of the configuration. A route table that is not newer than the
// current one is ignored. The change was made after the time known, which is zero if no
// configuration was known before. It was read by the gateway by, or by this one if that is
// empty.
func (g *Gateway) apply(c wardturn.ConfigChange, known time.Time, by wardturn.Incarnation) {
	now := g.clock.Now()
	var reader []any
	if by != "" {
		reader = []any{"by", by}
	}
	var out decide.Actions
	g.mu.Lock()
	for _, v := range c.Versions {
		g.fleet.VersionAnnounced(now, v, known, &out)
		fields := []any{"model", v.Model, "adapter", v.Adapter, "version", v.Version}
		if !known.IsZero() {
			fields = append(fields, "unnamed_ago", now.Sub(known))
		}
		g.logger.Info("version named", append(fields, reader...)...)
	}
	g.applyEvacuations(now, c, &out, reader...)
	current := g.routes.Load()
	if c.Table != nil && (current == nil || c.Table.Version > current.table.Version) {
		g.fleet.SetTable(c.Table)
		g.caps.setTeams(c.Table.Teams)
		g.routes.Store(newRoutes(c.Table))
		g.applyPartialMembers()
		fields := []any{"version", c.Table.Version, "routes", len(c.Table.Routes), "teams", len(c.Table.Teams)}
		if !known.IsZero() {
			fields = append(fields, "known_ago", now.Sub(known))
		}
		g.logger.Info("configuration in force", append(fields, reader...)...)
	}
	g.mu.Unlock()
	g.execute(out)
	if c.Table == nil {
		return
	}
	g.callers.setLimits(g.routes.Load().table.Limits)
	g.callers.start()
	g.links.update()
}

// followMembers keeps the list of upstreams up to date from its own reads and from
// announced changes.
func (g *Gateway) followMembers() {
	for {
		change, due, ok := g.reads.awaitMembers(g.membership.nextRetentionEnd())
		switch {
		case !ok:
			return
		case due:
			g.readMembers()
		case change == nil:
			g.setMembers(g.membership.dropExpired())
		default:
			g.applyAnnounced(*change)
		}
	}
}

// applyAnnounced applies a change that another gateway announced.
func (g *Gateway) applyAnnounced(change announcedChange) {
	view, ok := g.membership.apply(change.change, change.asOf)
	if !ok {
		g.markMembersStale()
		return
	}
	g.setMembers(view)
	if !change.asOf.IsZero() {
		g.lifetimes.listApplied(change.asOf.Add(-announcedReadMargin))
	}
}

// announcedReadMargin is the error of the time of a read by another gateway, which is measured
// without the shortest transit time of an announcement.
const announcedReadMargin = 5 * time.Millisecond

// readMembers reads the list of upstreams and announces the change.
func (g *Gateway) readMembers() {
	sent := g.clock.Now()
	g.reads.startMembersRead(sent)
	var part func([]wardturn.Member)
	if !g.membersRead.Load() {
		part = g.receivePartialMembers
	}
	view, change, ok := g.membership.read(part)
	if !ok {
		g.metrics.members.failed.Inc(1)
		g.reads.readFailed(g.reads.members)
		return
	}
	g.metrics.members.succeeded.Inc(1)
	g.setMembers(view)
	g.lifetimes.listApplied(sent)
	g.membersRead.Store(true)
	g.reads.finishMembersRead(sent, change)
}

// setMembers applies the upstreams that are considered present after a read.
func (g *Gateway) setMembers(view membershipView) {
	if view.unchanged {
		return
	}
	g.mu.Lock()
	g.partialMembers = nil
	lost := g.fleet.SetMembers(g.clock.Now(), view.members)
	g.mu.Unlock()
	g.crashes.disappeared(lost...)
	g.links.update()
	if len(view.members) > 0 && !g.hadUpstreams.Swap(true) {
		g.crashes.readIfStale(g.reads.readsForAll())
	}
}

// receivePartialMembers applies the upstreams of plain services while the list is still
// being read, so that their requests need not wait for the rest of it. Reading thousands of
// upstreams takes most of a second. Engines are applied only with the complete list:
// otherwise a request for an adapter whose engine has not been read yet would load the
// adapter elsewhere.
func (g *Gateway) receivePartialMembers(list []wardturn.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partialMembers = list
	g.applyPartialMembers()
}

// applyPartialMembers applies the part of the list received so far, if there is a
// configuration. The caller must hold g.mu.
func (g *Gateway) applyPartialMembers() {
	rs := g.routes.Load()
	if rs == nil || g.partialMembers == nil {
		return
	}
	plain := slices.DeleteFunc(slices.Clone(g.partialMembers), func(m wardturn.Member) bool {
		return rs.table.Services[m.Service].Engine != nil
	})
	g.fleet.SetMembers(g.clock.Now(), plain)
}

// markMembersStale marks the list as possibly out of date, so that it is read soon.
func (g *Gateway) markMembersStale() {
	g.reads.markMembersStale()
}
