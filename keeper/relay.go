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

// maxRelays is the maximum number of keepers that one keeper relays, within the limit of
// file descriptors of a host. It is large enough for a few remaining keepers of a failure
// domain to relay those of all other domains.
const maxRelays = 512

// idleRelayTime is how long a relay without followers is kept open. Gateways that restart
// or whose connections were interrupted reconnect within that time.
const idleRelayTime = 5 * time.Second

// relays forward the state updates of keepers in other failure domains to the gateways of
// the local one, so that an update crosses between two failure domains once instead of once
// for each gateway. Gateways choose the keepers that relay. A relay that is wrong, late or
// unreachable only makes them get the updates over direct connections.
type relays struct {
	clock  wardturn.Clock
	logger hclog.Logger
	tasks  *process.Tasks
	id     peer.Identity

	mu          sync.Mutex
	byKeeper    map[string]*relay // by address
	limitLogged bool              // maxRelays was reached and logged
	closed      bool
}

// relay is the connection to one relayed keeper, with the connections of its followers.
type relay struct {
	relays    *relays
	keeper    string
	client    *peer.Client
	process   wardturn.Incarnation // of the keeper on the current connection
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

// follow starts or ends relaying a keeper to a gateway.
func (rs *relays) follow(c *peer.Conn, m *peer.Follow) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if m.Stop {
		rs.unfollow(c, m.Keeper)
		return
	}
	r := rs.relayFor(m.Keeper)
	if r == nil {
		return
	}
	r.followers[c] = true
	if r.mirror.Known() {
		r.send(c, r.mirror.Full())
	}
}

// relayFor returns the relay of a keeper and creates it if there is none. It returns nil if
// maxRelays is reached. The lock must be held.
func (rs *relays) relayFor(keeper string) *relay {
	r := rs.byKeeper[keeper]
	if r != nil || rs.closed {
		return r
	}
	if len(rs.byKeeper) >= maxRelays {
		if !rs.limitLogged {
			rs.limitLogged = true
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

// unfollow removes a gateway from the followers of a keeper and schedules the end of a relay
// that has no followers left. The lock must be held.
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
		if rs.tasks.Sleep(idleRelayTime) {
			rs.closeIdle(r)
		}
	})
}

// closeIdle closes a relay unless it has got followers again.
func (rs *relays) closeIdle(r *relay) {
	rs.mu.Lock()
	if len(r.followers) > 0 || rs.byKeeper[r.keeper] != r {
		rs.mu.Unlock()
		return
	}
	delete(rs.byKeeper, r.keeper)
	rs.mu.Unlock()
	r.client.Close()
}

// unfollowAll removes a gateway whose connection has ended from the followers of all keepers.
func (rs *relays) unfollowAll(c *peer.Conn) {
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
	_ = c.Send(&peer.Subscribe{})
}

// Handle implements peer.Handler.
func (r *relay) Handle(c *peer.Conn, m peer.Message) {
	update, ok := m.(*peer.EngineUpdate)
	if !ok {
		return
	}
	r.relays.mu.Lock()
	defer r.relays.mu.Unlock()
	if !r.mirror.Apply(update) {
		_ = c.Send(&peer.Subscribe{})
		return
	}
	for f := range r.followers {
		r.send(f, *update)
	}
}

// Closed implements peer.Handler. It notifies the followers, so that they can get the updates
// from the keeper directly if they reach it.
func (r *relay) Closed(_ *peer.Conn, err error) {
	r.relays.mu.Lock()
	defer r.relays.mu.Unlock()
	r.mirror.Reset()
	if r.relays.closed || len(r.followers) == 0 {
		return // closed by end or close
	}
	r.relays.logger.Info("keeper that is relayed was lost", "keeper", r.keeper, "followers", len(r.followers), "error", err)
	for f := range r.followers {
		_ = f.Send(&peer.RelayedUpdate{
			Keeper:  r.keeper,
			Process: r.process,
			Lost:    true,
		})
	}
}

// send forwards a state update. A follower that misses it learns from the Mark after its
// next heartbeat that it is behind. The lock must be held.
func (r *relay) send(c *peer.Conn, update peer.EngineUpdate) {
	_ = c.Send(&peer.RelayedUpdate{
		Keeper:  r.keeper,
		Process: r.process,
		Update:  update,
	})
}
