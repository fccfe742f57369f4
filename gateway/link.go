package gateway

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// link is the connection to one keeper. Updates of the keeper's engine state arrive either
// on this connection or through a relay: a keeper in the gateway's own failure domain that
// forwards them.
type link struct {
	links    *links
	client   *peer.Client
	updateMu sync.Mutex // serializes the handling of updates, to keep them in order

	mu               sync.Mutex
	member           wardturn.Member
	engineConfig     peer.EngineConfig
	engineConfigSent bool // engineConfig was sent on the current connection
	conn             *peer.Conn
	createdAt        time.Time          // when the link was created
	relay            *link              // the relay; nil if there is none
	subscribedConn   *peer.Conn         // relay connection with the subscription; nil if none
	relaySince       time.Time          // when the relay was selected
	relayBackoff     decide.PathBackoff // backoff after a relay failed
	relaySuspended   bool               // a relay failed; updates are direct until the backoff ends
	synced           bool               // a full state was received
	seq              uint64             // of the latest update
	syncStartedAt    time.Time          // when a full state was last requested
	pendingMark      peer.Mark          // mark that the relay has to reach; zero if none
	pendingMarkAt    time.Time

	turns turns
}

// setEngineConfig sets the configuration for the keeper, and sends it unless the keeper
// already has one with the same engine specification. Most configuration changes do not
// affect an engine, and sending a message for each would cost one message per gateway and
// engine.
func (l *link) setEngineConfig(m wardturn.Member, cfg peer.EngineConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.ID != l.member.ID {
		l.requestFullState()
	}
	l.member = m
	cfg.ViaRelay = l.engineConfig.ViaRelay
	cfg.Announcements = l.engineConfig.Announcements
	l.engineConfigSent = l.engineConfigSent && l.engineConfig.Upstream == cfg.Upstream && l.engineConfig.Spec.Equal(cfg.Spec)
	l.engineConfig = cfg
	l.sendEngineConfig()
}

// sendEngineConfig sends the configuration if it has not been sent on the current
// connection. The caller must hold l.mu.
func (l *link) sendEngineConfig() {
	if l.conn == nil || l.engineConfigSent || l.engineConfig.Upstream == "" {
		return
	}
	cfg := l.engineConfig
	if l.conn.Understands(peer.FeatureEngineSizes) && l.conn.Send(peer.NewEngineSizes(cfg.Config, cfg.Spec)) != nil {
		return
	}
	l.engineConfigSent = l.conn.Send(&cfg) == nil
}

// Connected implements peer.ClientHandler.
func (l *link) Connected(c *peer.Conn) {
	l.mu.Lock()
	l.conn = c
	l.engineConfigSent = false
	l.requestFullState()
	l.seq = 0 // the keeper may have restarted
	l.sendEngineConfig()
	id := l.member.ID
	l.mu.Unlock()
	l.links.g.logger.Info("keeper connected", "upstream", id)
	l.links.updateRelay(l)
}

// Closed implements peer.Handler. The engine still serves the adapters it holds, since
// only the keeper loads and unloads them.
func (l *link) Closed(c *peer.Conn, err error) {
	l.updateMu.Lock()
	l.mu.Lock()
	l.conn = nil
	l.synced = false
	id := l.member.ID
	l.mu.Unlock()
	l.links.g.logger.Info("keeper lost", "upstream", id, "error", err)
	l.links.g.decide(func(time.Time, *decide.Actions) {
		l.links.g.fleet.KeeperLost(id)
	})
	l.updateMu.Unlock()
	l.turns.closed(c)
	l.links.g.markMembersStale()
	l.links.updateRelay(l)
}

// Handle implements peer.Handler.
func (l *link) Handle(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case *peer.ReadAnnouncement:
		l.links.g.reads.receive(m)
	case *peer.ConfigAnnouncement:
		l.links.g.reads.receiveConfig(m)
	case *peer.CrashAnnouncement:
		l.links.g.crashes.receive(m)
	case *peer.PartAnnouncement:
		l.links.g.crashes.receiveParts(m)
	case *peer.TeamUsageReports:
		l.links.g.caps.receive(m)
	case *peer.LimitGossip:
		l.links.g.limits.receive(m)
	case *peer.PlainLoadReports:
		l.links.g.plain.receive(m)
	case *peer.OriginReply:
		l.links.g.origins.handleReply(m)
	case *peer.SoftwareAnnouncement:
		l.links.g.reads.receiveSoftware(m)
	case *peer.StartedReport:
		l.links.g.pendingSends.markStarted(m.Upstream, m.IDs)
	case *peer.EngineUpdate:
		l.handleUpdate(c.Peer().Process, m, false)
	case *peer.RelayedUpdate:
		l.links.handleRelayed(m)
	case *peer.PrefillGrant:
		l.turns.grant(l.links.g.clock.Now(), c, m)
	case *peer.Mark:
		l.handleMark(*m)
	}
}

// handleUpdate handles an engine state update of a keeper process. The parameter relayed
// reports whether the update came through a relay.
func (l *link) handleUpdate(process wardturn.Incarnation, u *peer.EngineUpdate, relayed bool) {
	g := l.links.g
	if m := l.listed(); m.ID.Before(u.Upstream) {
		g.recordRestarted(m)
	}
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	id, ok := l.accept(process, u)
	if !ok {
		return
	}
	g.metrics.keeperUpdate(relayed, u.Requested)
	if u.Limit > 0 {
		g.limits.seen.Store(true)
	}
	update := engineUpdateOf(u)
	c, _ := l.current()
	update.PrefillTurns = c != nil && c.Understands(peer.FeaturePrefillTurns)
	g.decide(func(now time.Time, out *decide.Actions) {
		g.fleet.ApplyEngineUpdate(now, id, update, out)
	})
}

// listed returns the listed upstream that the keeper is beside.
func (l *link) listed() wardturn.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member
}

// accept reports whether an update is to be applied, and to which upstream. It rejects
// updates of another incarnation of the engine or its keeper, changes that arrive before
// the full state, and duplicates. After a gap in the sequence it requests the full state.
func (l *link) accept(process wardturn.Incarnation, u *peer.EngineUpdate) (wardturn.UpstreamID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Peer().Process != process || u.Upstream != l.member.ID {
		return "", false
	}
	switch {
	case u.Requested:
		return l.member.ID, l.synced && u.Seq >= l.seq
	case u.Full:
		if l.synced && u.Seq < l.seq {
			return "", false
		}
	case !l.synced || u.Seq <= l.seq:
		return "", false
	case u.Seq > l.seq+1:
		l.requestFullState()
		l.sendEngineConfig()
		return "", false
	}
	l.synced = true
	l.seq = u.Seq
	return l.member.ID, true
}

func engineUpdateOf(u *peer.EngineUpdate) decide.EngineUpdate {
	out := decide.EngineUpdate{
		Connected:     true,
		Full:          u.Full,
		Unloaded:      u.Unloaded,
		Known:         u.Known,
		Models:        u.Models,
		Running:       u.Running,
		Queued:        u.Queued,
		PrefillTokens: u.PrefillTokens,
		FreeSlots:     u.FreeSlots,
		Gateways:      u.Gateways,
		Limit:         u.Limit,
		Leaving:       u.Leaving,
	}
	for _, a := range u.Adapters {
		out.Adapters = append(out.Adapters, decide.HeldVersion{
			Adapter: a.Adapter,
			Ready:   a.State == peer.HeldReady,
			Loading: a.State == peer.HeldLoading,
		})
	}
	return out
}
