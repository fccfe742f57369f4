package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/standin"
)

// fakeMemberSource is a MemberSource whose reads can be made to fail.
type fakeMemberSource struct {
	unavailable bool
	members     []wardturn.Member
	expired     []wardturn.UpstreamID // expired since the latest read or change
}

func (s *fakeMemberSource) Next(func([]wardturn.Member)) (wardturn.MemberList, error) {
	if s.unavailable {
		return wardturn.MemberList{}, wardturn.ErrUnavailable
	}
	return s.list(), nil
}

func (s *fakeMemberSource) Apply(wardturn.MemberChange) (wardturn.MemberList, bool) {
	return s.list(), true
}

func (s *fakeMemberSource) list() wardturn.MemberList {
	l := wardturn.MemberList{
		Members: slices.Clone(s.members),
		Expired: s.expired,
	}
	s.expired = nil
	return l
}

// drop removes the entry of an upstream.
func (s *fakeMemberSource) drop(id wardturn.UpstreamID) {
	s.members = slices.DeleteFunc(s.members, func(m wardturn.Member) bool {
		return m.ID == id
	})
	s.expired = append(s.expired, id)
}

// expiryGrace is how long entries that expired during an outage are retained.
const expiryGrace = 2200 * time.Millisecond

// membershipRig is a membership that has read a list with the upstreams u1 and u2.
type membershipRig struct {
	*membership
	clock  *standin.Clock
	source *fakeMemberSource
}

func newMembershipRig() *membershipRig {
	x := &membershipRig{
		clock: standin.NewClock(),
		source: &fakeMemberSource{
			members: []wardturn.Member{{ID: "u1", Addr: "1"}, {ID: "u2", Addr: "2"}},
		},
	}
	x.membership = newMembership(x.source, x.clock, hclog.NewNullLogger(), expiryGrace)
	x.read(nil)
	return x
}

// fail performs a read that fails.
func (x *membershipRig) fail() {
	x.source.unavailable = true
	x.read(nil)
	x.source.unavailable = false
}

// has performs a read and reports whether the upstream is considered present.
func (x *membershipRig) has(id wardturn.UpstreamID) bool {
	view, _, _ := x.read(nil)
	return slices.ContainsFunc(view.members, func(m wardturn.Member) bool {
		return m.ID == id
	})
}

// After one failed read, a gateway may rely on others' reads for a long time. If the outage
// lasted until its own next read, it would retain upstreams that left just before that read
// and send them requests.
func TestMembershipRecoverySeenByAnother(t *testing.T) {
	x := newMembershipRig()
	x.fail()
	x.clock.Advance(10 * time.Millisecond)
	x.apply(wardturn.MemberChange{}, x.clock.Now())
	x.clock.Advance(24 * time.Second)
	x.source.drop("u1")
	if x.has("u1") {
		t.Error("an entry that ended long after the store recovered is retained")
	}
}

// If the store rejects one gateway's read but answers another's within milliseconds, that is
// no outage: entries that end in the next 500 ms must not be retained. One gateway logged
// nine such intervals, of 8 to 257 ms, on a day on which the store rejected reads:
//
//	9.4464 store answers again: for=upstreams away_for=32.168869ms
//	9.4754 upstream left the list: upstream=i-63e878534d store_was_away=true
func TestMembershipRejectedReadIsNoOutage(t *testing.T) {
	x := newMembershipRig()
	x.fail()
	x.clock.Advance(32 * time.Millisecond)
	x.apply(wardturn.MemberChange{}, x.clock.Now())
	x.clock.Advance(29 * time.Millisecond)
	x.source.drop("u1")
	if x.has("u1") {
		t.Error("an entry that ended is retained although there was no outage")
	}
}

// An outage is measured from the first failed read.
func TestMembershipOutageSinceFirstFailure(t *testing.T) {
	x := newMembershipRig()
	for range 10 {
		x.fail()
		x.clock.Advance(250 * time.Millisecond)
	}
	x.source.drop("u1")
	x.apply(wardturn.MemberChange{}, x.clock.Now())
	if !x.has("u1") {
		t.Error("an entry that expired during an outage was not retained")
	}
}

// An announcement that arrives late, of a read made before this gateway's read failed, does
// not show that the store has recovered.
func TestMembershipLateAnnouncement(t *testing.T) {
	for _, asOf := range []time.Duration{-time.Second, 0} {
		x := newMembershipRig()
		x.clock.Advance(10 * time.Second)
		x.fail()
		announcedAsOf := time.Time{} // unknown
		if asOf != 0 {
			announcedAsOf = x.clock.Now().Add(asOf)
		}
		x.clock.Advance(100 * time.Millisecond)
		x.apply(wardturn.MemberChange{}, announcedAsOf)
		x.clock.Advance(time.Second)
		x.source.drop("u1")
		if !x.has("u1") {
			t.Errorf("an entry that expired during an outage was not retained (announced read at %v)", asOf)
		}
	}
}

// Expired entries are retained for the grace period after the store's recovery, whether this
// gateway or another one noticed the recovery first.
func TestMembershipRetainsExpiredEntries(t *testing.T) {
	for _, announced := range []bool{false, true} {
		x := newMembershipRig()
		x.fail()
		x.clock.Advance(time.Second)
		x.source.drop("u1")
		if announced {
			x.apply(wardturn.MemberChange{}, x.clock.Now())
		}
		if !x.has("u1") {
			t.Error("an expired entry was not retained; recovery announced by another gateway:", announced)
		}
		x.clock.Advance(expiryGrace)
		if x.has("u1") {
			t.Error("an expired entry is retained beyond the grace period; recovery announced by another gateway:", announced)
		}
	}
}
