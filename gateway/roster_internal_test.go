package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/standin"
)

// listSource is a MemberSource whose reads can be made to fail.
type listSource struct {
	away    bool
	members []wardturn.Member
	lapsed  []wardturn.UpstreamID // expired since the latest read or change
}

func (s *listSource) Next(func([]wardturn.Member)) (wardturn.MemberList, error) {
	if s.away {
		return wardturn.MemberList{}, wardturn.ErrUnavailable
	}
	return s.list(), nil
}

func (s *listSource) Take(wardturn.MemberChange) (wardturn.MemberList, bool) {
	return s.list(), true
}

func (s *listSource) list() wardturn.MemberList {
	l := wardturn.MemberList{
		Members: slices.Clone(s.members),
		Lapsed:  s.lapsed,
	}
	s.lapsed = nil
	return l
}

// drop removes the entry of an upstream.
func (s *listSource) drop(id wardturn.UpstreamID) {
	s.members = slices.DeleteFunc(s.members, func(m wardturn.Member) bool {
		return m.ID == id
	})
	s.lapsed = append(s.lapsed, id)
}

// lapseGrace is how long entries that expired during an outage are retained.
const lapseGrace = 2200 * time.Millisecond

// rosterRig is a roster that has read a list with the upstreams u1 and u2.
type rosterRig struct {
	*membership
	clock  *standin.Clock
	source *listSource
}

func newRosterRig() *rosterRig {
	x := &rosterRig{
		clock: standin.NewClock(),
		source: &listSource{
			members: []wardturn.Member{{ID: "u1", Addr: "1"}, {ID: "u2", Addr: "2"}},
		},
	}
	x.membership = newMembership(x.source, x.clock, hclog.NewNullLogger(), lapseGrace)
	x.read(nil)
	return x
}

// fail performs a read that fails.
func (x *rosterRig) fail() {
	x.source.away = true
	x.read(nil)
	x.source.away = false
}

// has performs a read and reports whether the upstream is considered present.
func (x *rosterRig) has(id wardturn.UpstreamID) bool {
	now, _, _ := x.read(nil)
	return slices.ContainsFunc(now.members, func(m wardturn.Member) bool {
		return m.ID == id
	})
}

// After one failed read, a gateway may rely on others' reads for a long time. If the outage
// lasted until its own next read, it would retain upstreams that left just before that read
// and send them requests.
func TestRosterStoreThatAnswersOthers(t *testing.T) {
	x := newRosterRig()
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
func TestRosterTurnedAway(t *testing.T) {
	x := newRosterRig()
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
func TestRosterAwayForLong(t *testing.T) {
	x := newRosterRig()
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
func TestRosterLateWord(t *testing.T) {
	for _, asOf := range []time.Duration{-time.Second, 0} {
		x := newRosterRig()
		x.clock.Advance(10 * time.Second)
		x.fail()
		read := time.Time{} // unknown
		if asOf != 0 {
			read = x.clock.Now().Add(asOf)
		}
		x.clock.Advance(100 * time.Millisecond)
		x.apply(wardturn.MemberChange{}, read)
		x.clock.Advance(time.Second)
		x.source.drop("u1")
		if !x.has("u1") {
			t.Errorf("an entry that expired during an outage was not retained (announced read at %v)", asOf)
		}
	}
}

// Expired entries are retained for the grace period after the store's recovery, whether this
// gateway or another one noticed the recovery first.
func TestRosterLapsedWhileAway(t *testing.T) {
	for _, told := range []bool{false, true} {
		x := newRosterRig()
		x.fail()
		x.clock.Advance(time.Second)
		x.source.drop("u1")
		if told {
			x.apply(wardturn.MemberChange{}, x.clock.Now())
		}
		if !x.has("u1") {
			t.Error("an expired entry was not retained; recovery announced by another gateway:", told)
		}
		x.clock.Advance(lapseGrace)
		if x.has("u1") {
			t.Error("an expired entry is retained beyond the grace period; recovery announced by another gateway:", told)
		}
	}
}
