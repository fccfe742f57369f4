package gateway

import (
	"slices"
	"strings"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

const (
	// relayStart is how long a new link in the own failure domain counts as a relay
	// before it is connected, so that gateways which start together choose alike and
	// once; a choice among those that are there so far moves with each that comes.
	relayStart = 2 * time.Second
	// relaySync is how long a full holding may stay out until the keeper itself is
	// asked: a dial to a host that is still dark takes 300 ms, and then another.
	relaySync = time.Second
	// relayLag is how long a relay may be behind a keeper's mark: far over the
	// way by a relay, a step of some milliseconds, also on a slow host. A
	// frozen relay is left after this and a tick of links.check, and sooner than its
	// heartbeat shows it.
	relayLag = 500 * time.Millisecond
)

// route chooses the way of a keeper's words when the link to it came or went. One in
// the own failure domain may relay others, whose ways are chosen again.
func (ls *links) route(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l.domain() == ls.g.cfg.Domain {
		ls.routeAll()
		return
	}
	ls.choose(ls.g.clock.Now(), l)
}

// routeAll is route; the lock is held. Keepers in other failure domains are
// relayed by one in the own, on which all gateways there agree.
func (ls *links) routeAll() {
	if ls.closed {
		return
	}
	now := ls.g.clock.Now()
	ls.near = ls.mayRelay(now)
	ls.hears = ls.hearsAt(now)
	for _, l := range ls.byAddr {
		ls.choose(now, l)
	}
}

// choose chooses the way of one keeper's words, and whether it tells news; the lock
// is held.
func (ls *links) choose(now time.Time, l *link) {
	l.hear(ls.hears)
	via, _ := decide.First(l.addr(), ls.near, (*link).addr)
	l.follow(now, via)
}

func (l *link) domain() wardturn.FailureDomain {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member.Domain
}

func (l *link) addr() string {
	return l.client.Addr()
}

// mayRelay returns the links that may relay now, in order of address; the lock is
// held.
func (ls *links) mayRelay(now time.Time) []*link {
	var list []*link
	for _, l := range ls.byAddr {
		if domain, ok := l.reached(now); ok && domain == ls.g.cfg.Domain {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(x, y *link) int {
		return strings.Compare(x.addr(), y.addr())
	})
	return list
}

// reached returns the failure domain of a keeper, and whether it is connected or may
// soon be.
func (l *link) reached(now time.Time) (wardturn.FailureDomain, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member.Domain, l.conn != nil || now.Sub(l.begun) < relayStart
}

// check looks for relays that came, went, or failed.
func (ls *links) check() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := ls.g.clock.Now()
	failed := false
	for _, l := range ls.byAddr {
		if l.relayFailed(now) {
			failed = true
		}
	}
	if failed || !slices.Equal(ls.mayRelay(now), ls.near) || !slices.Equal(ls.hearsAt(now), ls.hears) {
		ls.routeAll()
	}
}

// relayFailed reports whether the way of a keeper's words has to be chosen again:
// its relay does not tell or is behind, or may be tried again.
func (l *link) relayFailed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.via == nil {
		return l.distrusted && l.trust.Allows(now)
	}
	if l.conn == nil {
		return false
	}
	behind := l.behind.Seq > l.seq && now.Sub(l.behindAt) > relayLag
	silent := !l.synced && now.Sub(l.asked) > relaySync
	if !behind && !silent {
		return false
	}
	l.links.g.logger.Info("relay left, its keeper tells directly", "upstream", l.member.ID, "relay", l.via.addr(), "behind", behind, "seq", l.seq, "mark", l.behind.Seq)
	l.distrust(now)
	return true
}

// follow has the keeper's words come by a relay, or, with nil, from itself.
func (l *link) follow(now time.Time, via *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.distrusted = l.distrusted && !l.trust.Allows(now)
	if l.distrusted || l.member.Domain == l.links.g.cfg.Domain {
		via = nil
	}
	if via != l.via {
		l.leave()
		l.via = via
		l.viaSince = now
		l.asked = now
		l.behind = peer.Mark{}
	}
	if via != nil {
		l.askRelay()
	}
	if relayed := via != nil; l.notice.Relayed != relayed {
		l.notice.Relayed = relayed
		l.told = false
		l.sendNotice()
	}
}

// leave ends what the present relay tells; the lock is held.
func (l *link) leave() {
	if l.followed != nil {
		// A connection that has ended has ended that too.
		_ = l.followed.Send(&peer.Follow{
			Keeper: l.addr(),
			End:    true,
		})
	}
	l.followed = nil
}

// askRelay asks the relay for the keeper's words, once on each of its
// connections; the lock is held.
func (l *link) askRelay() {
	conn, _ := l.via.present()
	if conn == nil || conn == l.followed {
		return
	}
	if conn.Send(&peer.Follow{Keeper: l.addr()}) == nil {
		l.followed = conn
	}
}

// unsync has the full holding told again: by the relay, or with the next notice;
// the lock is held.
func (l *link) unsync() {
	l.synced = false
	l.asked = l.links.g.clock.Now()
	if l.via != nil {
		l.followed = nil
		l.askRelay()
		return
	}
	l.told = false
}

// relayed takes the word of a keeper that a relay brings. When the relay has lost
// the keeper, that is listened to directly.
func (ls *links) relayed(m *peer.Relayed) {
	ls.mu.Lock()
	l := ls.keepers[m.Keeper]
	ls.mu.Unlock()
	if l == nil {
		return // no longer in the list
	}
	if m.Lost {
		l.relayLost(m.Process)
		ls.route(l)
		return
	}
	l.take(m.Process, &m.Holding, true)
}

func (l *link) relayLost(process wardturn.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Peer().Process == process {
		l.distrust(l.links.g.clock.Now())
	}
}

// distrust has the keeper tell directly for a while; the lock is held.
func (l *link) distrust(now time.Time) {
	l.distrusted = true
	l.trust.Fail(now, l.viaSince)
	l.links.g.metrics.relaysLeft.Inc(1)
}

// mark takes a keeper's word on how far its changes go.
func (l *link) mark(m peer.Mark) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behind.Seq > l.seq {
		return // the earlier one is not reached yet
	}
	l.behind = m
	l.behindAt = l.links.g.clock.Now()
}
