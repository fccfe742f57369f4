package gateway

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
)

// roster reads the platform's list of upstreams. It retains entries that expired only
// because their upstreams could not renew them: while the store was unavailable, or after
// it was restored from an older copy.
type roster struct {
	source wardturn.MemberSource
	clock  wardturn.Clock
	logger hclog.Logger
	grace  time.Duration

	list     []wardturn.Member                       // members in the latest list
	last     map[wardturn.UpstreamID]wardturn.Member // the same, by ID
	lapsed   map[wardturn.UpstreamID]lapse
	failing  bool      // the latest read failed and no gateway has read the store successfully since
	since    time.Time // first failure in the current run of failed reads
	failedAt time.Time // latest failure
	backAt   time.Time // first successful read after the latest outage
}

// lapse is an entry that expired during a store outage or shortly after it and is still
// treated as present.
type lapse struct {
	member wardturn.Member
	until  time.Time // when it is removed
}

// disturbedFor is how long after a store outage an entry that expires may have expired
// because of the outage.
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

// roll is the set of upstreams that are considered present after a read.
type roll struct {
	members []wardturn.Member
	same    bool // nothing changed; members is nil
}

// read reads the list from the store. It returns the upstreams that are considered
// present, and the change to announce to other gateways, or nil if there is nothing to
// announce. It reports false if the read failed; the current list then stays in use.
// If part is not nil, it is called with the members received so far of a paged list.
func (r *roster) read(part func([]wardturn.Member)) (roll, *wardturn.MemberChange, bool) {
	list, err := r.source.Next(part)
	now := r.clock.Now()
	if err != nil {
		if !r.failing {
			r.logger.Warn("store unavailable, keeping the current list of upstreams", "error", err)
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
		// Other gateways must see for themselves that the store has recovered. Given
		// this change, they would remove the expired entries instead of retaining them.
		return members, nil, true
	}
	return members, &list.Change, true
}

// take applies a change that another gateway read from the store at time asOf, which is
// zero if unknown. It reports false if the change does not directly follow the local state.
func (r *roster) take(c wardturn.MemberChange, asOf time.Time) (roll, bool) {
	r.answered(asOf, leastAbsence)
	list, ok := r.source.Take(c)
	if !ok {
		return roll{}, false
	}
	return r.merge(r.clock.Now(), list), true
}

// leastAbsence is how long reads must have failed here before a successful read at another
// gateway counts as the end of an outage. Another gateway reads every 1 to 1.5 s and
// announces nothing in the first 500 ms after an outage that it noticed itself.
const leastAbsence = time.Second

// answered records a successful read, by this gateway or another, at the given time. If
// reads had failed here for less than least, that was not an outage. Reads by others must
// count: a gateway with one rejected read may rely on others' reads for a long time, and
// if the outage lasted until its own next read, it would retain upstreams that left
// meanwhile and send them requests.
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

// disturbed reports whether the store recovered from an outage within disturbedFor.
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

// note records a list that may have changed, and logs upstreams that entered or left.
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

// nextLapse returns when the next retained entry is to be removed, or zero if there is none.
func (r *roster) nextLapse() time.Time {
	var first time.Time
	for _, l := range r.lapsed {
		if first.IsZero() || l.until.Before(first) {
			first = l.until
		}
	}
	return first
}

// expire removes the retained entries whose grace period is over. Waiting for the next
// read of the list instead would keep sending requests to upstreams that have left.
func (r *roster) expire() roll {
	return roll{
		members: r.withLapsed(r.clock.Now()),
	}
}

// withLapsed returns the list together with the retained entries. It drops retained
// entries whose grace period is over or whose address is registered again.
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
