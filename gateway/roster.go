package gateway

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
)

// roster reads the platform's list of upstreams and keeps entries that lapsed
// only because the store was away: their upstreams could not renew them.
type roster struct {
	source wardturn.MemberSource
	clock  wardturn.Clock
	logger hclog.Logger
	grace  time.Duration

	last    map[wardturn.UpstreamID]wardturn.Member
	lapsed  map[wardturn.UpstreamID]lapse
	failing bool      // the latest reading failed
	backAt  time.Time // of the first reading after a failed one
}

// lapse is an entry that ended while the store was away, or just after.
type lapse struct {
	member wardturn.Member
	until  time.Time // when it counts as gone
}

// disturbedFor is how long after the store's return an entry that ends may still
// have lapsed during its absence.
const disturbedFor = 500 * time.Millisecond

func newRoster(s wardturn.MemberSource, clock wardturn.Clock, logger hclog.Logger, grace time.Duration) *roster {
	return &roster{
		source: s,
		clock:  clock,
		logger: logger,
		grace:  grace,
		last:   make(map[wardturn.UpstreamID]wardturn.Member),
		lapsed: make(map[wardturn.UpstreamID]lapse),
	}
}

// read returns the upstreams that are taken to be there, and what other gateways
// may be told of the reading, or nil. It reports false if the store gave no list:
// then the present one stays.
func (r *roster) read() ([]wardturn.Member, *wardturn.MemberChange, bool) {
	list, err := r.source.Next()
	now := r.clock.Now()
	if err != nil {
		if !r.failing {
			r.logger.Warn("store away, the present list of upstreams stays", "error", err)
		}
		r.failing = true
		return nil, nil, false
	}
	if r.failing {
		r.failing = false
		r.backAt = now
		r.logger.Info("store answers again", "for", "upstreams", "lapsed", len(list.Lapsed))
	}
	members := r.merge(now, list)
	if r.disturbed(now) {
		// Other gateways have to see for themselves that the store is back, or
		// they would take lapsed entries for gone.
		return members, nil, true
	}
	return members, &list.Change, true
}

// take returns the upstreams with a change that another gateway has read. It
// reports false if the change does not follow what is known.
func (r *roster) take(c wardturn.MemberChange) ([]wardturn.Member, bool) {
	list, ok := r.source.Take(c)
	if !ok {
		return nil, false
	}
	return r.merge(r.clock.Now(), list), true
}

// disturbed reports whether the store has come back just now.
func (r *roster) disturbed(now time.Time) bool {
	return !r.backAt.IsZero() && now.Sub(r.backAt) < disturbedFor
}

func (r *roster) merge(now time.Time, list wardturn.MemberList) []wardturn.Member {
	disturbed := r.disturbed(now)
	addrs := make(map[string]bool, len(list.Members))
	current := make(map[wardturn.UpstreamID]wardturn.Member, len(list.Members))
	for _, m := range list.Members {
		current[m.ID] = m
		addrs[m.Addr] = true
		delete(r.lapsed, m.ID)
		if _, ok := r.last[m.ID]; !ok {
			r.logger.Info("upstream listed", "upstream", m.ID, "addr", m.Addr, "service", m.Service, "domain", m.Domain)
		} else if m.Draining && !r.last[m.ID].Draining {
			r.logger.Info("upstream leaving", "upstream", m.ID, "gone_at", m.GoneAt)
		}
	}
	for _, id := range list.Lapsed {
		m, ok := r.last[id]
		r.logger.Info("upstream left the list", "upstream", id, "store_was_away", disturbed)
		if !ok || !disturbed {
			continue
		}
		r.lapsed[id] = lapse{
			member: m,
			until:  r.backAt.Add(r.grace),
		}
	}
	r.last = current
	members := list.Members
	for id, l := range r.lapsed {
		if !now.Before(l.until) || addrs[l.member.Addr] {
			delete(r.lapsed, id)
			continue
		}
		members = append(members, l.member)
	}
	return members
}
