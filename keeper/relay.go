package keeper

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/peer"
	"wardturn/process"
)

// maxRelays bounds the keepers that one keeper relays, within the descriptors of a host. A
// few that are left in a failure domain still relay those of all others.
const maxRelays = 512

// relayLinger is how long a keeper that nobody follows any more is listened to:
// gateways that start or whose connections were cut come back within it.
const relayLinger = 5 * time.Second

// relays pass on what keepers in other failure domains tell to the gateways of
// the own one. So a change crosses between two failure domains once and not once
// for each gateway. Gateways choose who relays; a relay that is wrong, late or gone costs
// them a direct connection's words, nothing else.
type relays struct {
	clock  wardturn.Clock
	logger hclog.Logger
	tasks  *process.Tasks
	id     peer.Identity

	mu       sync.Mutex
	byKeeper map[string]*relay // by address
	full     bool              // the bound was met and logged
	closed   bool
}

// relay is one keeper that is listened to, and who wants to know.
type relay struct {
	relays    *relays
	keeper    string
	client    *peer.Client
	process   wardturn.Incarnation // of the keeper on the present connection
	mirror    peer.Mirror
	followers map[*peer.Conn]bool
}

func newRelays(k *Keeper, id peer.Identity) *relays {
	return &relays{
		clock:    k.clock,
		logger:   k.logger,
		tasks:    k.tasks,
		id:       id,
		byKeeper: make(map[string]*relay),
	}
}

// follow takes a gateway's wish to be told of a keeper, or its end.
func (rs *relays) follow(c *peer.Conn, m *peer.Follow) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if m.End {
		rs.unfollow(c, m.Keeper)
		return
	}
	r := rs.to(m.Keeper)
	if r == nil {
		return
	}
	r.followers[c] = true
	if r.mirror.Known() {
		r.send(c, r.mirror.Full())
	}
}

// to returns the relay of a keeper, a new one if there is none, or nil beyond the
// bound; the lock is held.
func (rs *relays) to(keeper string) *relay {
	r := rs.byKeeper[keeper]
	if r != nil || rs.closed {
		return r
	}
	if len(rs.byKeeper) >= maxRelays {
		if !rs.full {
			rs.full = true
			rs.logger.Warn("no more keepers are relayed", "relayed", len(rs.byKeeper), "refused", keeper)
		}
		return nil
	}
	r = &relay{
		relays:    rs,
		keeper:    keeper,
		followers: make(map[*peer.Conn]bool),
	}
	rs.byKeeper[keeper] = r
	r.client = peer.NewClient(keeper, nil, rs.clock, rs.id, r)
	return r
}

// unfollow ends the wish of a gateway; the lock is held. A keeper that nobody
// follows any more is not listened to after a while.
func (rs *relays) unfollow(c *peer.Conn, keeper string) {
	r := rs.byKeeper[keeper]
	if r == nil || !r.followers[c] {
		return
	}
	delete(r.followers, c)
	if len(r.followers) > 0 {
		return
	}
	rs.tasks.Go(func() {
		if rs.tasks.Pause(relayLinger) {
			rs.end(r)
		}
	})
}

// end ends a relay if nobody has followed it again.
func (rs *relays) end(r *relay) {
	rs.mu.Lock()
	if len(r.followers) > 0 || rs.byKeeper[r.keeper] != r {
		rs.mu.Unlock()
		return
	}
	delete(rs.byKeeper, r.keeper)
	rs.mu.Unlock()
	r.client.Close()
}

// lost ends all wishes of a gateway whose connection ended.
func (rs *relays) lost(c *peer.Conn) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, keeper := range slices.Collect(maps.Keys(rs.byKeeper)) {
		rs.unfollow(c, keeper)
	}
}

func (rs *relays) close() {
	rs.mu.Lock()
	rs.closed = true
	list := rs.byKeeper
	rs.byKeeper = nil
	rs.mu.Unlock()
	for _, r := range list {
		r.client.Close()
	}
}

// Connected implements peer.ClientHandler.
func (r *relay) Connected(c *peer.Conn) {
	r.relays.mu.Lock()
	defer r.relays.mu.Unlock()
	r.process = c.Peer().Process
	_ = c.Send(&peer.Listen{})
}

// Handle implements peer.Handler.
func (r *relay) Handle(c *peer.Conn, m peer.Message) {
	h, ok := m.(*peer.Holding)
	if !ok {
		return
	}
	r.relays.mu.Lock()
	defer r.relays.mu.Unlock()
	if !r.mirror.Take(h) {
		_ = c.Send(&peer.Listen{})
		return
	}
	for f := range r.followers {
		r.send(f, *h)
	}
}

// Closed implements peer.Handler. The followers are told, so that they listen to
// the keeper themselves while it can be reached.
func (r *relay) Closed(_ *peer.Conn, err error) {
	r.relays.mu.Lock()
	defer r.relays.mu.Unlock()
	r.mirror.Forget()
	if r.relays.closed || len(r.followers) == 0 {
		return // it has ended
	}
	r.relays.logger.Info("keeper that is relayed was lost", "keeper", r.keeper, "followers", len(r.followers), "error", err)
	for f := range r.followers {
		_ = f.Send(&peer.Relayed{
			Keeper:  r.keeper,
			Process: r.process,
			Lost:    true,
		})
	}
}

// send passes a word on; the lock is held. A follower that does not get it is
// told by its next heartbeat that it is behind.
func (r *relay) send(c *peer.Conn, h peer.Holding) {
	_ = c.Send(&peer.Relayed{
		Keeper:  r.keeper,
		Process: r.process,
		Holding: h,
	})
}
