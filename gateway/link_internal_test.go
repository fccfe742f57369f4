package gateway

import (
	"net"
	"testing"
	"time"

	"wardturn"
	"wardturn/peer"
	"wardturn/process"
)

// connected is a client handler that delivers each new connection on the channel.
type connected chan *peer.Conn

func (c connected) Connected(conn *peer.Conn)       { c <- conn }
func (c connected) Handle(*peer.Conn, peer.Message) {}
func (c connected) Closed(_ *peer.Conn, _ error)    {}
func (c connected) identity(p wardturn.Incarnation) peer.Identity {
	return peer.Identity{
		Role:    peer.RoleAgent,
		Process: p,
		Config: func() wardturn.Offset {
			return 0
		},
	}
}

// newTestLink returns a link that is connected to a keeper with process ID k.
func newTestLink(t *testing.T) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(connected, 1)
	server := peer.NewServer(ln, nil, process.Clock{}, conns.identity("k"), peer.Limits{}, conns)
	t.Cleanup(server.Close)
	client := peer.NewClient(ln.Addr().String(), nil, process.Clock{}, conns.identity("g"), conns)
	t.Cleanup(client.Close)
	select {
	case conn := <-conns:
		return &link{
			links: &links{
				g: &Gateway{
					clock: process.Clock{},
				},
			},
			client: client,
			conn:   conn,
			member: wardturn.Member{
				ID: "i-1",
			},
		}
	case <-time.After(5 * time.Second):
		t.Fatal("not connected")
		return nil
	}
}

// A link applies each update once and in order, whether it arrives directly or through a
// relay, and none of another incarnation of the engine or its keeper.
func TestLinkAccepts(t *testing.T) {
	update := func(seq uint64, full bool) *peer.EngineUpdate {
		return &peer.EngineUpdate{
			Seq:      seq,
			Full:     full,
			Upstream: "i-1",
		}
	}
	requested := func(seq uint64) *peer.EngineUpdate {
		u := update(seq, false)
		u.Requested = true
		return u
	}
	other := update(9, true)
	other.Upstream = "i-0"
	l := newTestLink(t)
	for i, step := range []struct {
		name    string
		process wardturn.Incarnation
		update  *peer.EngineUpdate
		want    bool
	}{
		{name: "a change before the full state", process: "k", update: update(4, false)},
		{name: "a requested update before the full state", process: "k", update: requested(4)},
		{name: "a full state of an earlier keeper process", process: "old", update: update(8, true)},
		{name: "a full state of another incarnation of the engine", process: "k", update: other},
		{name: "the full state", process: "k", update: update(5, true), want: true},
		{name: "the next change", process: "k", update: update(6, false), want: true},
		{name: "the same change through the relay", process: "k", update: update(6, false)},
		{name: "an older full state from a relay that is behind", process: "k", update: update(5, true)},
		{name: "a requested update older than the current state", process: "k", update: requested(5)},
		{name: "a requested update ahead of the changes", process: "k", update: requested(8), want: true},
		{name: "the change that comes after it", process: "k", update: update(7, false), want: true},
		{name: "a change after a gap", process: "k", update: update(9, false)},
		{name: "the next change, while the full state is requested", process: "k", update: update(10, false)},
		{name: "the full state after the gap", process: "k", update: update(10, true), want: true},
		{name: "the change after that", process: "k", update: update(11, false), want: true},
	} {
		if _, got := l.accept(step.process, step.update); got != step.want {
			t.Errorf("step %d, %s: accepted %v, want %v", i, step.name, got, step.want)
		}
	}
}

// A relay is behind if it has not reached a mark within relayMarkTimeout. A later mark must
// not restart that period.
func TestLinkKeepsPendingMark(t *testing.T) {
	l := newTestLink(t)
	l.synced = true
	l.seq = 3
	l.handleMark(peer.Mark{
		Seq: 5,
	})
	first := l.pendingMarkAt
	l.handleMark(peer.Mark{
		Seq: 9,
	})
	if l.pendingMark.Seq != 5 || l.pendingMarkAt != first {
		t.Fatalf("a later mark replaced one that was not reached: %+v", l.pendingMark)
	}
	l.seq = 5
	l.handleMark(peer.Mark{
		Seq: 9,
	})
	if l.pendingMark.Seq != 9 {
		t.Fatalf("mark %+v, want 9", l.pendingMark)
	}
}

// Regression test: for each new configuration each gateway sent a message to each keeper,
// and the keepers replied with their full state.
func TestLinkTellsWhatChanged(t *testing.T) {
	spec := wardturn.EngineSpec{
		Batch:        8,
		AdapterSlots: 2,
		Models: []wardturn.ModelSpec{
			{
				Name: "m0",
			},
		},
	}
	larger := spec
	larger.AdapterSlots = 3
	l := newTestLink(t)
	sent := func(cfg peer.EngineConfig) bool {
		conn := l.conn
		l.conn = nil // without a connection, a configuration to be sent stays pending
		l.engineConfigSent = true
		l.setEngineConfig(wardturn.Member{
			ID: cfg.Upstream,
		}, cfg)
		l.conn = conn
		return !l.engineConfigSent
	}
	for _, c := range []struct {
		name         string
		engineConfig peer.EngineConfig
		want         bool
	}{
		{"the first", peer.EngineConfig{Config: 1, Upstream: "i-1", Spec: spec}, true},
		{"a version that changes nothing", peer.EngineConfig{Config: 2, Upstream: "i-1", Spec: spec}, false},
		{"another specification", peer.EngineConfig{Config: 3, Upstream: "i-1", Spec: larger}, true},
		{"another incarnation", peer.EngineConfig{Config: 3, Upstream: "i-2", Spec: larger}, true},
	} {
		if got := sent(c.engineConfig); got != c.want {
			t.Errorf("%s: configuration to be sent: %v, want %v", c.name, got, c.want)
		}
	}
	if l.engineConfig.Config != 3 {
		t.Errorf("configuration for the next connection has version %d, want 3", l.engineConfig.Config)
	}
}
