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
	// candidate before it is connected, so that gateways that start together select the
	// same relay, and only once. Selecting among the connected links only would change
	// the relay with each new connection.
	relayStart = 2 * time.Second
	// relaySync is how long to wait for a full state through a relay before requesting
	// it from the keeper directly. A dial to an unreachable host times out after 300 ms
	// and is then retried.
	relaySync = time.Second
	// relayLag is how long a relay may take to reach a keeper's mark: far longer than
	// the few milliseconds that relaying adds, also on a slow host. A frozen relay is
	// abandoned after this time and a tick of links.check, before its missing heartbeat
	// is noticed.
	relayLag = 500 * time.Millisecond
)

// route selects the relay for a keeper when the link to it was connected or lost. If the
// keeper is in the own failure domain, it may itself be a relay, so the relays of all
// links are selected again.
func (ls *links) route(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l.domain() == ls.g.cfg.Domain {
		ls.routeAll()
		return
	}
	ls.choose(ls.g.clock.Now(), l)
}

// routeAll selects the relays of all links. Updates of a keeper in another failure domain
// are relayed by one in the own domain; all gateways in the domain select the same one.
// The caller must hold ls.mu.
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

// choose selects the relay for one keeper, and whether the keeper forwards announcements
// to this gateway. The caller must hold ls.mu.
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

// mayRelay returns the links that are relay candidates now, sorted by address. The caller
// must hold ls.mu.
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

// reached returns the keeper's failure domain, and whether the keeper is connected or was
// added so recently that the connection may still be in progress.
func (l *link) reached(now time.Time) (wardturn.FailureDomain, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member.Domain, l.conn != nil || now.Sub(l.begun) < relayStart
}

// check selects relays again if a relay failed or the candidates have changed.
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

// relayFailed reports whether a relay has to be selected again: because the current one
// sends nothing or is behind, or because the backoff after a failure is over.
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

// follow subscribes to the keeper's updates through the relay via. With nil the keeper
// sends them directly.
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

// leave cancels the subscription at the current relay. The caller must hold l.mu.
func (l *link) leave() {
	if l.followed != nil {
		// Errors are ignored: the subscription ends with its connection.
		_ = l.followed.Send(&peer.Follow{
			Keeper: l.addr(),
			End:    true,
		})
	}
	l.followed = nil
}

// askRelay subscribes to the keeper's updates at the relay, once per relay connection. The
// caller must hold l.mu.
func (l *link) askRelay() {
	conn, _ := l.via.present()
	if conn == nil || conn == l.followed {
		return
	}
	if conn.Send(&peer.Follow{Keeper: l.addr()}) == nil {
		l.followed = conn
	}
}

// unsync requests the full state again, from the relay or with the next notice. The
// caller must hold l.mu.
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

// relayed handles a keeper's update that came through a relay. If the relay has lost its
// connection to the keeper, the gateway switches to direct updates.
func (ls *links) relayed(m *peer.Relayed) {
	ls.mu.Lock()
	l := ls.keepers[m.Keeper]
	ls.mu.Unlock()
	if l == nil {
		return // no longer listed
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

// distrust records a failure of the relay and starts the backoff during which the keeper
// sends its updates directly. The caller must hold l.mu.
func (l *link) distrust(now time.Time) {
	l.distrusted = true
	l.trust.Fail(now, l.viaSince)
	l.links.g.metrics.relaysLeft.Inc(1)
}

// mark handles a mark: the sequence number of the keeper's latest change, sent directly so
// that a relay that falls behind is noticed.
func (l *link) mark(m peer.Mark) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behind.Seq > l.seq {
		return // an earlier mark has not been reached yet
	}
	l.behind = m
	l.behindAt = l.links.g.clock.Now()
}
