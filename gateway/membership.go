package gateway

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
)

// membership reads the platform's list of upstreams. It retains entries that expired only
// because their upstreams could not renew them: while the store was unavailable, or after
// it was restored from an older copy.
type membership struct {
	source wardturn.MemberSource
	clock  wardturn.Clock
	logger hclog.Logger
	grace  time.Duration
	// announced returns the software version of an upstream as announced by other gateways.
	announced func(wardturn.UpstreamID) (wardturn.SoftwareVersion, bool)

	current      []wardturn.Member                       // members in the latest list
	byID         map[wardturn.UpstreamID]wardturn.Member // the same, by ID
	retained     map[wardturn.UpstreamID]retainedEntry
	failing      bool      // the latest read failed, and no gateway has succeeded since
	failingSince time.Time // first failure in the current run of failed reads
	lastFailure  time.Time // latest failure
	recoveredAt  time.Time // first successful read after the latest outage
}

// retainedEntry is an entry that expired during a store outage or shortly after it and is
// still treated as present.
type retainedEntry struct {
	member wardturn.Member
	until  time.Time // when it is removed
}

// recoveryWindow is how long after a store outage an entry that expires may have expired
// because of the outage.
const recoveryWindow = 500 * time.Millisecond

func newMembership(s wardturn.MemberSource, clock wardturn.Clock, logger hclog.Logger, grace time.Duration) *membership {
	return &membership{
		source:   s,
		clock:    clock,
		logger:   logger,
		grace:    grace,
		byID:     make(map[wardturn.UpstreamID]wardturn.Member),
		retained: make(map[wardturn.UpstreamID]retainedEntry),
	}
}

// membershipView is the set of upstreams that are considered present after a read.
type membershipView struct {
	members   []wardturn.Member
	unchanged bool // nothing changed; members is nil
}

// read reads the list from the store. It returns the upstreams that are considered
// present, and the change to announce to other gateways, or nil if there is nothing to
// announce. It reports false if the read failed; the current list then stays in use.
// If part is not nil, it is called with the members received so far of a paged list.
func (ms *membership) read(part func([]wardturn.Member)) (membershipView, *wardturn.MemberChange, bool) {
	list, err := ms.source.Next(part)
	now := ms.clock.Now()
	if err != nil {
		if !ms.failing {
			ms.logger.Warn("store away, the present list of upstreams stays", "error", err)
		}
		if !ms.failing {
			ms.failingSince = now
		}
		ms.failing = true
		ms.lastFailure = now
		return membershipView{}, nil, false
	}
	ms.recordStoreRead(now, 0)
	members := ms.merge(now, list)
	if ms.recentlyRecovered(now) {
		// Other gateways must see for themselves that the store has recovered. Given
		// this change, they would remove the expired entries instead of retaining them.
		return members, nil, true
	}
	return members, &list.Change, true
}

// apply applies a change that another gateway read from the store at time asOf, which is
// zero if unknown. It reports false if the change does not directly follow the local state.
func (ms *membership) apply(c wardturn.MemberChange, asOf time.Time) (membershipView, bool) {
	ms.recordStoreRead(asOf, minOutage)
	if !ms.completeSoftware(c) {
		return membershipView{}, false
	}
	list, ok := ms.source.Apply(c)
	if !ok {
		return membershipView{}, false
	}
	return ms.merge(ms.clock.Now(), list), true
}

// minOutage is how long reads must have failed here before a successful read at another
// gateway counts as the end of an outage. Another gateway reads every 1 to 1.5 s and
// announces nothing in the first 500 ms after an outage that it noticed itself.
const minOutage = time.Second

// recordStoreRead records a successful read, by this gateway or another, at the given time.
// If reads had failed here for less than minDuration, that was not an outage. Reads by
// others must count: a gateway with one rejected read may rely on others' reads for a long
// time. If the outage lasted until its own next read, it would retain upstreams that left
// meanwhile and send them requests.
func (ms *membership) recordStoreRead(at time.Time, minDuration time.Duration) {
	if !ms.failing || !at.After(ms.lastFailure) {
		return
	}
	ms.failing = false
	outage := at.Sub(ms.failingSince)
	if outage >= minDuration {
		ms.recoveredAt = at
	}
	ms.logger.Info("store answers again", "for", "upstreams", "away_for", outage)
}

// recentlyRecovered reports whether the store recovered from an outage within the last
// recoveryWindow.
func (ms *membership) recentlyRecovered(now time.Time) bool {
	return !ms.recoveredAt.IsZero() && now.Sub(ms.recoveredAt) < recoveryWindow
}

// merge applies a list and returns the upstreams that are considered present.
func (ms *membership) merge(now time.Time, list wardturn.MemberList) membershipView {
	if list.Restored {
		ms.recoveredAt = now
	}
	if list.Unchanged && len(ms.retained) == 0 {
		return membershipView{
			unchanged: true,
		}
	}
	if !list.Unchanged {
		ms.update(now, list)
	}
	return membershipView{
		members: ms.withRetained(now),
	}
}

// update records a list that may have changed, and logs upstreams that entered or left.
func (ms *membership) update(now time.Time, list wardturn.MemberList) {
	recovered := ms.recentlyRecovered(now)
	current := make(map[wardturn.UpstreamID]wardturn.Member, len(list.Members))
	for _, m := range list.Members {
		current[m.ID] = m
		delete(ms.retained, m.ID)
		if _, ok := ms.byID[m.ID]; !ok {
			ms.logger.Info("upstream listed", "upstream", m.ID, "addr", m.Addr, "service", m.Service, "domain", m.Domain, "software", m.Software)
		} else if m.Draining && !ms.byID[m.ID].Draining {
			ms.logger.Info("upstream leaving", "upstream", m.ID, "gone_at", m.ShutdownAt)
		}
	}
	for _, id := range list.Expired {
		m, ok := ms.byID[id]
		ms.logger.Info("upstream left the list", "upstream", id, "store_was_away", recovered)
		if !ok || !recovered {
			continue
		}
		ms.retained[id] = retainedEntry{
			member: m,
			until:  ms.recoveredAt.Add(ms.grace),
		}
	}
	ms.current = list.Members
	ms.byID = current
}

// nextRetentionEnd returns when the next retained entry is to be removed, or zero if there
// is none.
func (ms *membership) nextRetentionEnd() time.Time {
	var first time.Time
	for _, entry := range ms.retained {
		if first.IsZero() || entry.until.Before(first) {
			first = entry.until
		}
	}
	return first
}

// dropExpired removes the retained entries whose grace period is over. Waiting for the next
// read of the list instead would have requests sent to upstreams that have left.
func (ms *membership) dropExpired() membershipView {
	return membershipView{
		members: ms.withRetained(ms.clock.Now()),
	}
}

// withRetained returns the list together with the retained entries. It drops retained
// entries whose grace period is over or whose address is registered again.
func (ms *membership) withRetained(now time.Time) []wardturn.Member {
	members := slices.Clone(ms.current)
	for id, entry := range ms.retained {
		listed := slices.ContainsFunc(ms.current, func(m wardturn.Member) bool {
			return m.Addr == entry.member.Addr
		})
		if listed || !now.Before(entry.until) {
			delete(ms.retained, id)
			continue
		}
		members = append(members, entry.member)
	}
	return members
}
