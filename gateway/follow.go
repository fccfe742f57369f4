package gateway

import (
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
)

// followConfig keeps the configuration up to date by long polls of the store.
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
			// Recorded last, so that a configuration known as of a time is also in force
			// as of that time.
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

// storeReturned triggers a rewrite of records that the store may have lost when it was
// restored from an older copy.
func (g *Gateway) storeReturned() {
	g.returned.Store(true)
	wake(g.crashes.reads)
}

// configWait returns the wait of a long poll of the configuration. While no upstream is
// registered, there is no keeper to forward announcements, so every gateway polls; longer
// waits then limit the load on the store.
func (g *Gateway) configWait() time.Duration {
	if g.listed.Load() && !g.upstreams.Load() {
		return configIdleWait
	}
	return configWait
}

// configAsOf returns a time as of which the result of a configuration read is current. A long
// poll that found nothing is current as of the end of its wait. One that returned sooner
// found a record, even if that changes nothing here, and counts as of the time it was sent.
func configAsOf(sent time.Time, wait time.Duration, answered time.Time, c wardturn.ConfigChange, first bool) time.Time {
	waited := sent.Add(wait)
	if first || c.Table != nil || len(c.Versions) > 0 || answered.Before(waited) {
		return sent
	}
	return waited
}

// apply applies a change of the configuration. A route table older than the current one is
// ignored. The change was made after the time known, which is zero if no configuration was
// known before.
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

// limit sets the limits of callers' connections and starts accepting requests.
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

// followMembers keeps the list of upstreams up to date from its own reads and from announced
// changes.
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

// takeMembers applies a change that another gateway announced.
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

// takePart applies the upstreams of plain services while the list is still being read, so
// that their requests need not wait for the rest of it. Reading thousands of upstreams takes
// most of a second. Engines are applied only with the complete list: otherwise a request for
// an adapter whose engine has not been read yet would load the adapter elsewhere.
func (g *Gateway) takePart(list []wardturn.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.part = list
	g.setPart()
}

// setPart applies the part of the list received so far, if there is a configuration. The
// caller must hold g.mu.
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

// doubtMembers marks the list as possibly out of date, so that it is read soon.
func (g *Gateway) doubtMembers() {
	g.news.doubtMembers()
}
