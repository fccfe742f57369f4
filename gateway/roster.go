package gateway

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
)

// roster reads the platform's list of upstreams and keeps entries that lapsed
// only because the store was away, or came back from an older copy: their upstreams could
// not renew them.
type roster struct {
	source wardturn.MemberSource
	clock  wardturn.Clock
	logger hclog.Logger
	grace  time.Duration

	list     []wardturn.Member                       // as the latest reading had it
	last     map[wardturn.UpstreamID]wardturn.Member // the same by id
	lapsed   map[wardturn.UpstreamID]lapse
	failing  bool      // the latest reading failed, and the store has not been seen to answer since
	since    time.Time // of the first such reading in a row
	failedAt time.Time // of the latest
	backAt   time.Time // when the store was first seen to answer after an absence
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

// roll is what is known of the upstreams after a reading.
type roll struct {
	members []wardturn.Member // that are taken to be there
	same    bool              // as before; members is nil
}

// read returns the upstreams that are taken to be there, and what other gateways
// may be told of the reading, or nil. It reports false if the store gave no list:
// then the present one stays. Part is told what has come of a long list; nil: nobody.
func (r *roster) read(part func([]wardturn.Member)) (roll, *wardturn.MemberChange, bool) {
	list, err := r.source.Next(part)
	now := r.clock.Now()
	if err != nil {
		if !r.failing {
			r.logger.Warn("store away, the present list of upstreams stays", "error", err)
		}
		if !r.failing {
			r.since = now
		}
		r.failing = true
		r.failedAt = now
		return roll{}, nil, false
	}
	r.answered(now, 0)
	members := r.merge(now, list)
	if r.disturbed(now) {
		// Other gateways have to see for themselves that the store is back, or
		// they would take lapsed entries for gone.
		return members, nil, true
	}
	return members, &list.Change, true
}

// take returns the upstreams with a change that another gateway has read at a time; zero:
// not known. It reports false if the change does not follow what is known.
func (r *roster) take(c wardturn.MemberChange, asOf time.Time) (roll, bool) {
	r.answered(asOf, leastAbsence)
	list, ok := r.source.Take(c)
	if !ok {
		return roll{}, false
	}
	return r.merge(r.clock.Now(), list), true
}

// leastAbsence is how long this gateway's readings must have failed for the store to count
// as away, when it then answers another gateway: that one reads each 1 to 1.5 s, and tells
// nothing for the first half second after an absence that it saw itself.
const leastAbsence = time.Second

// answered records that the store answered this gateway or another; an absence shorter than
// the least is none. A gateway that the store turned away once may hear of others' readings
// for long before it reads by itself: counted until its own next reading, an upstream that
// left meanwhile would be kept as lapsed and get requests.
func (r *roster) answered(at time.Time, least time.Duration) {
	if !r.failing || !at.After(r.failedAt) {
		return
	}
	r.failing = false
	away := at.Sub(r.since)
	if away >= least {
		r.backAt = at
	}
	r.logger.Info("store answers again", "for", "upstreams", "away_for", away)
}

// disturbed reports whether the store has come back just now.
func (r *roster) disturbed(now time.Time) bool {
	return !r.backAt.IsZero() && now.Sub(r.backAt) < disturbedFor
}

func (r *roster) merge(now time.Time, list wardturn.MemberList) roll {
	if list.Returned {
		r.backAt = now
	}
	if list.Same && len(r.lapsed) == 0 {
		return roll{
			same: true,
		}
	}
	if !list.Same {
		r.note(now, list)
	}
	return roll{
		members: r.withLapsed(now),
	}
}

// note takes a list that may have changed.
func (r *roster) note(now time.Time, list wardturn.MemberList) {
	disturbed := r.disturbed(now)
	current := make(map[wardturn.UpstreamID]wardturn.Member, len(list.Members))
	for _, m := range list.Members {
		current[m.ID] = m
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
	r.list = list.Members
	r.last = current
}

// nextLapse returns when the first kept entry counts as gone; zero: none is kept.
func (r *roster) nextLapse() time.Time {
	var first time.Time
	for _, l := range r.lapsed {
		if first.IsZero() || l.until.Before(first) {
			first = l.until
		}
	}
	return first
}

// expire returns the upstreams without the kept entries whose time is over. Left to the
// next reading, an upstream that has left would get requests for that much longer.
func (r *roster) expire() roll {
	return roll{
		members: r.withLapsed(r.clock.Now()),
	}
}

// withLapsed returns the list with the entries that lapsed only because the store was
// away, as long as that may be so.
func (r *roster) withLapsed(now time.Time) []wardturn.Member {
	members := slices.Clone(r.list)
	for id, l := range r.lapsed {
		listed := slices.ContainsFunc(r.list, func(m wardturn.Member) bool {
			return m.Addr == l.member.Addr
		})
		if listed || !now.Before(l.until) {
			delete(r.lapsed, id)
			continue
		}
		members = append(members, l.member)
	}
	return members
}
