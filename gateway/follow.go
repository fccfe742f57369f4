package gateway

import (
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
)

// followConfig keeps the configuration up to date.
func (g *Gateway) followConfig() {
	pause := configRetry
	away := false
	first := true
	for {
		if !g.news.await(g.news.config) {
			return
		}
		sent := g.clock.Now()
		g.news.beganConfig(sent)
		wait := g.configWait()
		change, err := g.source.Next(wait)
		if err == nil {
			g.metrics.config.read.Inc(1)
			asOf := configAsOf(sent, wait, g.clock.Now(), change, first)
			first = false
			if away {
				g.logger.Info("store answers again", "for", "configuration")
			}
			away = false
			pause = configRetry
			if change.Returned {
				g.storeReturned()
			}
			g.apply(change, g.news.configKnown())
			// Recorded last: whoever finds the configuration known as of a time has
			// it in force up to then.
			g.news.readConfig(asOf, change.To)
			if g.upstreams.Load() {
				g.crashes.readIfOld(g.news.readsForAll())
			}
			continue
		}
		g.metrics.config.failed.Inc(1)
		if !away {
			g.logger.Warn("store away, the present configuration stays", "error", err)
		}
		away = true
		g.news.failed(g.news.config)
		if !g.tasks.Pause(pause) {
			return
		}
		pause = min(2*pause, configMaxRetry)
	}
}

// storeReturned has records of this gateway that the store may have lost written again.
func (g *Gateway) storeReturned() {
	g.returned.Store(true)
	wake(g.crashes.reads)
}

// configWait returns the time of a waiting read of the configuration. While no upstream is
// listed, no keeper is known by whom another gateway could pass its readings on, and all
// read: the fewer the better.
func (g *Gateway) configWait() time.Duration {
	if g.listed.Load() && !g.upstreams.Load() {
		return configIdleWait
	}
	return configWait
}

// configAsOf returns a time at which the answer to a read of the configuration
// was true: a waiting read that found nothing ended with its wait. One that ended
// sooner met a record, also if that changes nothing here.
func configAsOf(sent time.Time, wait time.Duration, answered time.Time, c wardturn.ConfigChange, first bool) time.Time {
	waited := sent.Add(wait)
	if first || c.Table != nil || len(c.Versions) > 0 || answered.Before(waited) {
		return sent
	}
	return waited
}

// apply puts a change of the configuration in force. An older version than the
// present one is passed over. What changed was not so yet at the time known; zero:
// nothing was known then.
func (g *Gateway) apply(c wardturn.ConfigChange, known time.Time) {
	now := g.clock.Now()
	var out decide.Moves
	g.mu.Lock()
	for _, v := range c.Versions {
		g.fleet.SetVersion(now, v, known, &out)
		line := []any{"model", v.Model, "adapter", v.Adapter, "version", v.Version}
		if !known.IsZero() {
			line = append(line, "unnamed_ago", now.Sub(known))
		}
		g.logger.Info("version named", line...)
	}
	g.evacuate(now, c, &out)
	present := g.routes.Load()
	if c.Table != nil && (present == nil || c.Table.Version > present.table.Version) {
		g.fleet.SetTable(c.Table)
		g.caps.setTeams(c.Table.Teams)
		g.routes.Store(newRoutes(c.Table))
		g.setPart()
		g.logger.Info("configuration in force", "version", c.Table.Version, "routes", len(c.Table.Routes), "teams", len(c.Table.Teams))
	}
	g.mu.Unlock()
	g.carry(out)
	if c.Table == nil {
		return
	}
	if present == nil {
		g.limit(c.Table.Limits)
	}
	g.links.update()
}

// limit sets the limits of callers' connections and starts to take them.
func (g *Gateway) limit(l wardturn.CallerLimits) {
	g.served.Do(func() {
		if l.MaxHeader > 0 {
			g.server.MaxHeaderBytes = l.MaxHeader
		}
		if l.HeaderTimeout > 0 {
			g.server.ReadHeaderTimeout = l.HeaderTimeout
		}
		if l.IdleTimeout > 0 {
			g.server.IdleTimeout = l.IdleTimeout
		}
		g.takeCallers()
	})
}

// followMembers keeps the list of upstreams up to date, by own readings and by
// those of other gateways.
func (g *Gateway) followMembers() {
	for {
		told, due, ok := g.news.awaitMembers(g.list.nextLapse())
		switch {
		case !ok:
			return
		case due:
			g.readMembers()
		case told == nil:
			g.setMembers(g.list.expire())
		default:
			g.takeMembers(*told)
		}
	}
}

// takeMembers takes the word of another gateway.
func (g *Gateway) takeMembers(told toldMembers) {
	now, ok := g.list.take(told.change, told.asOf)
	if !ok {
		g.doubtMembers()
		return
	}
	g.setMembers(now)
}

func (g *Gateway) readMembers() {
	sent := g.clock.Now()
	g.news.beganMembers(sent)
	var part func([]wardturn.Member)
	if !g.listed.Load() {
		part = g.takePart
	}
	now, change, ok := g.list.read(part)
	if !ok {
		g.metrics.members.failed.Inc(1)
		g.news.failed(g.news.members)
		return
	}
	g.metrics.members.read.Inc(1)
	g.setMembers(now)
	g.listed.Store(true)
	g.news.readMembers(sent, change)
}

func (g *Gateway) setMembers(now roll) {
	if now.same {
		return
	}
	g.mu.Lock()
	g.part = nil
	lost := g.fleet.SetMembers(g.clock.Now(), now.members)
	g.mu.Unlock()
	g.crashes.ended(lost...)
	g.links.update()
	if len(now.members) > 0 && !g.upstreams.Swap(true) {
		g.crashes.readIfOld(g.news.readsForAll())
	}
}

// takePart takes the upstreams of plain services from a list that is still being
// read, so that their requests need not wait for the rest, which takes most of a second
// with thousands of upstreams.
// Engines are taken all at once: requests for an adapter whose holder has not been
// read yet would have it loaded elsewhere.
func (g *Gateway) takePart(list []wardturn.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.part = list
	g.setPart()
}

// setPart puts the part of the list in force that came so far, once there is a
// configuration; the lock is held.
func (g *Gateway) setPart() {
	rs := g.routes.Load()
	if rs == nil || g.part == nil {
		return
	}
	plain := slices.DeleteFunc(slices.Clone(g.part), func(m wardturn.Member) bool {
		return rs.table.Services[m.Service].Engine != nil
	})
	g.fleet.SetMembers(g.clock.Now(), plain)
}

// doubtMembers has the list read soon.
func (g *Gateway) doubtMembers() {
	g.news.doubtMembers()
}
