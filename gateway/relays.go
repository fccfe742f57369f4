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
	// relayConnectGrace is how long a new link in the gateway's own failure domain counts as
	// a relay candidate before it is connected, so that gateways that start together select
	// the same relay, and only once. Selecting among the connected links only would change
	// the relay with each new connection.
	relayConnectGrace = 2 * time.Second
	// relaySyncTimeout is how long to wait for a full state through a relay before
	// requesting it from the keeper directly. A dial to an unreachable host times out after
	// 300 ms and is then retried.
	relaySyncTimeout = time.Second
	// relayMarkTimeout is how long a relay may take to reach a keeper's mark: far longer
	// than the few milliseconds that relaying adds, even on a slow host. A frozen relay is
	// abandoned after this time plus one interval of links.checkRelays, before its missing
	// heartbeat is noticed.
	relayMarkTimeout = 500 * time.Millisecond
)

// updateRelay selects the relay for a keeper after the link to it was connected or lost. A
// keeper in the gateway's own failure domain may itself be a relay, so the relays of all
// links are then selected again.
func (ls *links) updateRelay(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l.domain() == ls.g.cfg.Domain {
		ls.updateRelays()
		return
	}
	ls.chooseRelay(ls.g.clock.Now(), l)
}

// updateRelays selects the relays of all links. Updates of a keeper in another failure
// domain are relayed by one in the gateway's own domain; all gateways in the domain select
// the same one. The caller must hold ls.mu.
func (ls *links) updateRelays() {
	if ls.closed {
		return
	}
	now := ls.g.clock.Now()
	ls.relayCandidates = ls.findRelayCandidates(now)
	ls.announcementDomains = ls.findAnnouncementDomains(now)
	for _, l := range ls.byAddr {
		ls.chooseRelay(now, l)
	}
}

// chooseRelay selects the relay for one keeper, and whether the keeper forwards
// announcements to this gateway. The caller must hold ls.mu.
func (ls *links) chooseRelay(now time.Time, l *link) {
	l.setAnnouncements(ls.announcementDomains)
	relay, _ := decide.First(l.addr(), ls.relayCandidates, (*link).addr)
	l.setRelay(now, relay)
}

func (l *link) domain() wardturn.FailureDomain {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member.Domain
}

func (l *link) addr() string {
	return l.client.Addr()
}

// findRelayCandidates returns the links that are relay candidates now, sorted by address.
// The caller must hold ls.mu.
func (ls *links) findRelayCandidates(now time.Time) []*link {
	var list []*link
	for _, l := range ls.byAddr {
		if domain, ok := l.reachable(now); ok && domain == ls.g.cfg.Domain {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(x, y *link) int {
		return strings.Compare(x.addr(), y.addr())
	})
	return list
}

// reachable returns the keeper's failure domain, and whether the keeper is connected or
// its link is so new that it may still be connecting.
func (l *link) reachable(now time.Time) (wardturn.FailureDomain, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member.Domain, l.conn != nil || now.Sub(l.createdAt) < relayConnectGrace
}

// checkRelays selects relays again if a relay failed or the candidates have changed.
func (ls *links) checkRelays() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := ls.g.clock.Now()
	failed := false
	for _, l := range ls.byAddr {
		if l.relayNeedsChange(now) {
			failed = true
		}
	}
	if failed || !slices.Equal(ls.findRelayCandidates(now), ls.relayCandidates) || !slices.Equal(ls.findAnnouncementDomains(now), ls.announcementDomains) {
		ls.updateRelays()
	}
}

// relayNeedsChange reports whether a relay has to be selected again, because the current
// one sends nothing or is behind, or because the backoff after a failure is over. In the
// first two cases it suspends the relay.
func (l *link) relayNeedsChange(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.relay == nil {
		return l.relaySuspended && l.relayBackoff.Allows(now)
	}
	if l.conn == nil {
		return false
	}
	behind := l.pendingMark.Seq > l.seq && now.Sub(l.pendingMarkAt) > relayMarkTimeout
	silent := !l.synced && now.Sub(l.syncStartedAt) > relaySyncTimeout
	if !behind && !silent {
		return false
	}
	l.links.g.logger.Info("relay left, its keeper tells directly", "upstream", l.member.ID, "relay", l.relay.addr(), "behind", behind, "seq", l.seq, "mark", l.pendingMark.Seq)
	l.suspendRelay(now)
	return true
}

// setRelay subscribes to the keeper's updates through relay. If relay is nil, or is not
// used because of the backoff or the keeper's domain, the keeper sends them directly.
func (l *link) setRelay(now time.Time, relay *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relaySuspended = l.relaySuspended && !l.relayBackoff.Allows(now)
	if l.relaySuspended || l.member.Domain == l.links.g.cfg.Domain {
		relay = nil
	}
	if relay != l.relay {
		l.unsubscribe()
		l.relay = relay
		l.relaySince = now
		l.syncStartedAt = now
		l.pendingMark = peer.Mark{}
	}
	if relay != nil {
		l.subscribe()
	}
	if relayed := relay != nil; l.engineConfig.ViaRelay != relayed {
		l.engineConfig.ViaRelay = relayed
		l.engineConfigSent = false
		l.sendEngineConfig()
	}
}

// unsubscribe cancels the subscription at the current relay. The caller must hold l.mu.
func (l *link) unsubscribe() {
	if l.subscribedConn != nil {
		// Errors are ignored: the subscription ends with its connection.
		_ = l.subscribedConn.Send(&peer.Follow{
			Keeper: l.addr(),
			Stop:   true,
		})
	}
	l.subscribedConn = nil
}

// subscribe subscribes to the keeper's updates at the relay, once per relay connection.
// The caller must hold l.mu.
func (l *link) subscribe() {
	conn, _ := l.relay.current()
	if conn == nil || conn == l.subscribedConn {
		return
	}
	if conn.Send(&peer.Follow{Keeper: l.addr()}) == nil {
		l.subscribedConn = conn
	}
}

// requestFullState requests the full state again, from the relay or with the next
// EngineConfig. The caller must hold l.mu.
func (l *link) requestFullState() {
	l.synced = false
	l.syncStartedAt = l.links.g.clock.Now()
	if l.relay != nil {
		l.subscribedConn = nil
		l.subscribe()
		return
	}
	l.engineConfigSent = false
}

// handleRelayed handles a keeper's update that came through a relay. If the relay has lost
// its connection to the keeper, the gateway switches to direct updates.
func (ls *links) handleRelayed(m *peer.RelayedUpdate) {
	ls.mu.Lock()
	l := ls.keepers[m.Keeper]
	ls.mu.Unlock()
	if l == nil {
		return // no longer listed
	}
	if m.Lost {
		l.relayLost(m.Process)
		ls.updateRelay(l)
		return
	}
	l.handleUpdate(m.Process, &m.Update, true)
}

func (l *link) relayLost(process wardturn.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Peer().Process == process {
		l.suspendRelay(l.links.g.clock.Now())
	}
}

// suspendRelay records a failure of the relay and starts the backoff during which the
// keeper sends its updates directly. The caller must hold l.mu.
func (l *link) suspendRelay(now time.Time) {
	l.relaySuspended = true
	l.relayBackoff.Fail(now, l.relaySince)
	l.links.g.metrics.relaysAbandoned.Inc(1)
}

// handleMark handles a mark: the sequence number of the keeper's latest change, sent
// directly so that a relay that falls behind is noticed.
func (l *link) handleMark(m peer.Mark) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingMark.Seq > l.seq {
		return // an earlier mark has not been reached yet
	}
	l.pendingMark = m
	l.pendingMarkAt = l.links.g.clock.Now()
}
