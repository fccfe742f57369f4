package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

// formerKeeperAge is how long a gateway stays connected to the keeper of an engine that has
// left the list. The keeper may hold origins of streams that callers still resume.
const formerKeeperAge = originGrace

// maxFormerKeepers bounds these connections: while a release replaces all engines, most
// origins are in the store.
const maxFormerKeepers = 256

// formerKeeper is the connection to the keeper of an engine that has left the list. It
// serves queries for the origins of streams only.
type formerKeeper struct {
	g      *Gateway
	client *peer.Client
	domain wardturn.FailureDomain
	until  time.Time // when the connection is closed
}

// Connected implements peer.ClientHandler.
func (f *formerKeeper) Connected(*peer.Conn) {}

// Handle implements peer.Handler.
func (f *formerKeeper) Handle(_ *peer.Conn, m peer.Message) {
	if r, ok := m.(*peer.OriginReply); ok {
		f.g.origins.handleReply(r)
	}
}

// Closed implements peer.Handler.
func (f *formerKeeper) Closed(*peer.Conn, error) {}

// addFormer connects to the keeper of a link that is closed. A connection of its own leaves
// the keeper's subscriptions behind with the link. The caller must hold ls.mu.
func (ls *links) addFormer(l *link) {
	if len(ls.former) >= maxFormerKeepers {
		return
	}
	_, domain := l.current()
	addr := l.client.Addr()
	ls.dropFormer(addr)
	f := &formerKeeper{
		g:      ls.g,
		domain: domain,
		until:  ls.g.clock.Now().Add(formerKeeperAge),
	}
	f.client = ls.newClient(addr, f)
	ls.former[addr] = f
}

// dropFormer closes the connection to a former keeper, if there is one. The caller must hold
// ls.mu.
func (ls *links) dropFormer(addr string) {
	f := ls.former[addr]
	if f == nil {
		return
	}
	delete(ls.former, addr)
	ls.g.tasks.Go(f.client.Close)
}

// expireFormer closes the connections to former keepers that can hold no record any more of
// use to a caller.
func (ls *links) expireFormer() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := ls.g.clock.Now()
	for addr, f := range ls.former {
		if !now.Before(f.until) {
			ls.dropFormer(addr)
		}
	}
}

// formerCandidates returns the connected former keepers that record origins of streams.
func (ls *links) formerCandidates() []originCandidate {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var list []originCandidate
	for addr, f := range ls.former {
		conn := f.client.Conn()
		if conn != nil && conn.Understands(peer.FeatureStreamOrigins) {
			list = append(list, originCandidate{
				conn:   conn,
				addr:   addr,
				domain: f.domain,
			})
		}
	}
	return list
}
