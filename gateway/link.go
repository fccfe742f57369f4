package gateway

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// link is the connection to one keeper, and the way on which its words come: on
// that connection, or by a relay, another keeper in the own failure domain.
type link struct {
	links  *links
	client *peer.Client
	words  sync.Mutex // held while one word is taken, so that they are in order

	mu         sync.Mutex
	member     wardturn.Member
	notice     peer.EngineNotice
	told       bool // the notice was sent on the present connection
	conn       *peer.Conn
	begun      time.Time    // of the link
	via        *link        // relay; nil: none
	followed   *peer.Conn   // on which the relay was asked; nil: it has to be
	viaSince   time.Time    // when it was chosen
	trust      decide.Trust // in relays
	distrusted bool         // the keeper tells directly until it may be relayed again
	synced     bool         // a full holding came
	seq        uint64       // of the latest word
	asked      time.Time    // when a full holding was last waited for
	behind     peer.Mark    // that the relay had not reached when it came; zero: none
	behindAt   time.Time
}

// tell sends the notice to the keeper if it has not got one that says the same of the
// engine. Most configurations change nothing there, and a notice for each would be as many
// messages as there are gateways times engines.
func (l *link) tell(m wardturn.Member, n peer.EngineNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.ID != l.member.ID {
		l.unsync()
	}
	l.member = m
	n.Relayed = l.notice.Relayed
	n.News = l.notice.News
	l.told = l.told && l.notice.Upstream == n.Upstream && l.notice.Spec.Equal(n.Spec)
	l.notice = n
	l.sendNotice()
}

// sendNotice sends the notice on a connection that has not carried it; the lock
// is held.
func (l *link) sendNotice() {
	if l.conn == nil || l.told || l.notice.Upstream == "" {
		return
	}
	n := l.notice
	l.told = l.conn.Send(&n) == nil
}

// Connected implements peer.ClientHandler.
func (l *link) Connected(c *peer.Conn) {
	l.mu.Lock()
	l.conn = c
	l.told = false
	l.unsync()
	l.seq = 0 // the keeper may have restarted
	l.sendNotice()
	id := l.member.ID
	l.mu.Unlock()
	l.links.g.logger.Info("keeper connected", "upstream", id)
	l.links.route(l)
}

// Closed implements peer.Handler. The engine goes on serving what it held: only
// its keeper can change that.
func (l *link) Closed(_ *peer.Conn, err error) {
	l.words.Lock()
	l.mu.Lock()
	l.conn = nil
	l.synced = false
	id := l.member.ID
	l.mu.Unlock()
	l.links.g.logger.Info("keeper lost", "upstream", id, "error", err)
	l.links.g.decide(func(time.Time, *decide.Moves) {
		l.links.g.fleet.KeeperLost(id)
	})
	l.words.Unlock()
	l.links.g.doubtMembers()
	l.links.route(l)
}

// Handle implements peer.Handler.
func (l *link) Handle(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case *peer.StoreNews:
		l.links.g.news.receive(m)
	case *peer.CrashNews:
		l.links.g.crashes.receive(m)
	case *peer.TeamUse:
		l.links.g.caps.receive(m)
	case *peer.LimitNews:
		l.links.g.limits.receive(m)
	case *peer.StartedReport:
		l.links.g.notStarted.markStarted(m.Upstream, m.IDs)
	case *peer.Holding:
		l.take(c.Peer().Process, m, false)
	case *peer.Relayed:
		l.links.relayed(m)
	case *peer.Mark:
		l.mark(*m)
	}
}

// take takes a word of a keeper's process, and says whether a relay brought it.
func (l *link) take(process wardturn.Incarnation, h *peer.Holding, relayed bool) {
	l.words.Lock()
	defer l.words.Unlock()
	id, ok := l.accept(process, h)
	if !ok {
		return
	}
	g := l.links.g
	g.metrics.told(relayed, h.Answer)
	if h.Limit > 0 {
		g.limits.any.Store(true)
	}
	g.decide(func(now time.Time, out *decide.Moves) {
		g.fleet.SetHolding(now, id, holdingOf(h), out)
	})
}

// accept reports whether a holding is to be taken, and of which upstream: not one
// of another lifetime of the engine or of its keeper, no change before the full
// one, and none twice. After a gap everything is asked for again.
func (l *link) accept(process wardturn.Incarnation, h *peer.Holding) (wardturn.UpstreamID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Peer().Process != process || h.Upstream != l.member.ID {
		return "", false
	}
	switch {
	case h.Answer:
		return l.member.ID, l.synced && h.Seq >= l.seq
	case h.Full:
		if l.synced && h.Seq < l.seq {
			return "", false
		}
	case !l.synced || h.Seq <= l.seq:
		return "", false
	case h.Seq > l.seq+1:
		l.unsync()
		l.sendNotice()
		return "", false
	}
	l.synced = true
	l.seq = h.Seq
	return l.member.ID, true
}

func holdingOf(h *peer.Holding) decide.Holding {
	out := decide.Holding{
		Connected: true,
		Full:      h.Full,
		Gone:      h.Gone,
		Known:     h.Known,
		Models:    h.Models,
		Running:   h.Running,
		Queued:    h.Queued,
		Reading:   h.Reading,
		Free:      h.Free,
		Gateways:  h.Gateways,
		Limit:     h.Limit,
		Leaving:   h.Leaving,
	}
	for _, a := range h.Adapters {
		out.Adapters = append(out.Adapters, decide.HeldVersion{
			Adapter: a.Adapter,
			Ready:   a.State == peer.HeldReady,
			Loading: a.State == peer.HeldLoading,
		})
	}
	return out
}
