package gateway

import (
	"net"
	"sync"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// links holds the connections to keepers, one for each engine address.
type links struct {
	g *Gateway

	mu              sync.Mutex
	byAddr          map[string]*link // by the engine's address
	byID            map[wardturn.UpstreamID]*link
	former          map[string]*formerKeeper // by the keeper's address
	keepers         map[string]*link         // by the keeper's address
	relayCandidates []*link                  // relay candidates at the latest updateRelays
	// announcementDomains are the failure domains whose keepers forward announcements to this
	// gateway, at the latest updateRelays.
	announcementDomains []wardturn.FailureDomain
	closed              bool
}

func newLinks(g *Gateway) *links {
	return &links{
		g:       g,
		byAddr:  make(map[string]*link),
		byID:    make(map[wardturn.UpstreamID]*link),
		former:  make(map[string]*formerKeeper),
		keepers: make(map[string]*link),
	}
}

// update applies the current list of upstreams and configuration: it connects to the
// keepers of new engines, closes the links of removed ones, and sends changed engine
// configurations.
func (ls *links) update() {
	rs := ls.g.routes.Load()
	if rs == nil {
		return
	}
	ls.g.mu.Lock()
	var engines []wardturn.Member
	for name, spec := range rs.table.Services {
		if spec.Engine == nil {
			continue
		}
		for _, m := range ls.g.fleet.Members(name) {
			engines = append(engines, m.Member)
		}
	}
	ls.g.mu.Unlock()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.closed {
		return
	}
	present := make(map[string]bool, len(engines))
	ls.byID = make(map[wardturn.UpstreamID]*link, len(engines))
	for _, m := range engines {
		present[m.Addr] = true
		l := ls.byAddr[m.Addr]
		if l == nil {
			l = ls.connect(m)
		}
		ls.byID[m.ID] = l
		l.setEngineConfig(m, peer.EngineConfig{
			Config:   rs.table.Version,
			Upstream: m.ID,
			Position: m.Position,
			Spec:     *rs.table.Services[m.Service].Engine,
		})
	}
	for addr, l := range ls.byAddr {
		if !present[addr] {
			ls.disconnect(addr, l)
		}
	}
	ls.updateRelays()
}

// disconnect closes the link to a keeper. The caller must hold ls.mu.
func (ls *links) disconnect(addr string, l *link) {
	delete(ls.byAddr, addr)
	delete(ls.keepers, l.client.Addr())
	l.setRelay(ls.g.clock.Now(), nil)
	ls.g.tasks.Go(l.client.Close)
	ls.addFormer(l)
}

// connect creates the link to the keeper of an engine. The caller must hold ls.mu.
func (ls *links) connect(m wardturn.Member) *link {
	l := &link{
		links:     ls,
		member:    m,
		createdAt: ls.g.clock.Now(),
	}
	ls.byAddr[m.Addr] = l
	host, _, err := net.SplitHostPort(m.Addr)
	if err != nil {
		ls.g.logger.Error("invalid upstream address", "upstream", m.ID, "addr", m.Addr, "error", err)
	}
	addr := net.JoinHostPort(host, ls.g.cfg.KeeperPort)
	ls.dropFormer(addr)
	l.client = ls.newClient(addr, l)
	ls.keepers[addr] = l
	return l
}

// newClient returns a client of a keeper.
func (ls *links) newClient(addr string, h peer.ClientHandler) *peer.Client {
	return peer.NewClient(addr, nil, ls.g.clock, peer.Identity{
		Role:    peer.RoleEntry,
		Process: ls.g.cfg.Process,
		Host:    ls.g.cfg.Host,
		Config:  ls.g.configVersion,
	}, h)
}

func (g *Gateway) configVersion() wardturn.Offset {
	rs := g.routes.Load()
	if rs == nil {
		return 0
	}
	return wardturn.Offset(rs.table.Version)
}

// sendPrefillReports reports to keepers the long prompts that their engines are processing.
func (ls *links) sendPrefillReports(reports []decide.PrefillReport) {
	for _, r := range reports {
		if l := ls.linkTo(r.Upstream); l != nil {
			l.send(&peer.PrefillReport{
				Tokens: r.Tokens,
			})
		}
	}
}

// sendLoadRequests sends the adapter load requests of a decision to the keepers.
func (ls *links) sendLoadRequests(out decide.Actions) {
	for _, r := range out.LoadRequests {
		l := ls.linkTo(r.Upstream)
		if l == nil {
			continue
		}
		l.sendLoadRequest(r)
	}
}

// sendLoadRequest sends a load request, with the urgency of the waiting requests if they
// differ in rank and the keeper understands it.
func (l *link) sendLoadRequest(r decide.LoadRequest) {
	conn, _ := l.current()
	if r.Ranked && conn != nil && conn.Understands(peer.FeatureUrgentLoads) {
		l.send(&peer.UrgentLoadRequest{
			Adapter:    r.Adapter,
			Waiting:    r.Waiting,
			OldestWait: r.Oldest,
			Weight:     r.Weight,
			LateIn:     r.LateIn,
		})
		return
	}
	l.send(&peer.LoadRequest{
		Adapter:    r.Adapter,
		Waiting:    r.Waiting,
		OldestWait: r.Oldest,
	})
}

func (ls *links) linkTo(id wardturn.UpstreamID) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.byID[id]
}

func (l *link) send(m peer.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		// Errors are ignored: these messages are repeated as long as they are relevant.
		_ = l.conn.Send(m)
	}
}

// current returns the current connection, or nil, and the keeper's failure domain.
func (l *link) current() (*peer.Conn, wardturn.FailureDomain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn, l.member.Domain
}

// reportUsage sends each keeper the current usage of its adapters.
func (ls *links) reportUsage() {
	ls.mu.Lock()
	list := make(map[wardturn.UpstreamID]*link, len(ls.byID))
	for id, l := range ls.byID {
		list[id] = l
	}
	ls.mu.Unlock()
	for id, l := range list {
		ls.g.mu.Lock()
		counts := ls.g.fleet.Usage(id)
		ls.g.mu.Unlock()
		if len(counts) == 0 {
			continue
		}
		m := &peer.AdapterUsage{
			Uses: make([]peer.AdapterUse, 0, len(counts)),
		}
		for _, c := range counts {
			m.Uses = append(m.Uses, peer.AdapterUse{
				Adapter: c.Key,
				Started: c.Started,
				Running: c.Running,
			})
		}
		l.send(m)
	}
}

func (ls *links) close() {
	ls.mu.Lock()
	ls.closed = true
	list := ls.byAddr
	ls.byAddr = nil
	former := ls.former
	ls.former = nil
	ls.mu.Unlock()
	for _, l := range list {
		l.client.Close()
	}
	for _, f := range former {
		f.client.Close()
	}
}
