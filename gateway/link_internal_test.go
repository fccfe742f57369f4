package gateway

import (
	"net"
	"testing"
	"time"

	"wardturn"
	"wardturn/peer"
	"wardturn/process"
)

// connected hands out the connection of a client.
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

// newTestLink returns a link that is connected to a keeper of process k.
func newTestLink(t *testing.T) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(connected, 1)
	server := peer.NewServer(ln, nil, process.Clock{}, conns.identity("k"), conns)
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

// A link takes each change once and in order, whichever way it comes, and nothing
// of another lifetime of the engine or of its keeper.
func TestLinkAccepts(t *testing.T) {
	word := func(seq uint64, full bool) *peer.Holding {
		return &peer.Holding{
			Seq:      seq,
			Full:     full,
			Upstream: "i-1",
		}
	}
	answer := func(seq uint64) *peer.Holding {
		h := word(seq, false)
		h.Answer = true
		return h
	}
	other := word(9, true)
	other.Upstream = "i-0"
	l := newTestLink(t)
	for i, step := range []struct {
		what    string
		process wardturn.Incarnation
		word    *peer.Holding
		want    bool
	}{
		{what: "a change before the full holding", process: "k", word: word(4, false)},
		{what: "an answer before it", process: "k", word: answer(4)},
		{what: "a full holding of an earlier keeper", process: "old", word: word(8, true)},
		{what: "one of another lifetime of the engine", process: "k", word: other},
		{what: "the full holding", process: "k", word: word(5, true), want: true},
		{what: "the next change", process: "k", word: word(6, false), want: true},
		{what: "it again by the other way", process: "k", word: word(6, false)},
		{what: "an older full holding of a mirror that is behind", process: "k", word: word(5, true)},
		{what: "an answer that is older than what is known", process: "k", word: answer(5)},
		{what: "an answer ahead of the changes", process: "k", word: answer(8), want: true},
		{what: "the change that comes after it", process: "k", word: word(7, false), want: true},
		{what: "a change after a gap", process: "k", word: word(9, false)},
		{what: "the next one, while everything is asked for", process: "k", word: word(10, false)},
		{what: "the full holding after the gap", process: "k", word: word(10, true), want: true},
		{what: "the change after that", process: "k", word: word(11, false), want: true},
	} {
		if _, got := l.accept(step.process, step.word); got != step.want {
			t.Errorf("step %d, %s: taken %v, want %v", i, step.what, got, step.want)
		}
	}
}

// A mark that is not reached within relayLag shows a relay that is behind; a
// later one does not put that off.
func TestLinkLeavesARelayThatIsBehind(t *testing.T) {
	l := newTestLink(t)
	l.synced = true
	l.seq = 3
	l.mark(peer.Mark{
		Seq: 5,
	})
	first := l.behindAt
	l.mark(peer.Mark{
		Seq: 9,
	})
	if l.behind.Seq != 5 || l.behindAt != first {
		t.Fatalf("a later mark took the place of one that was not reached: %+v", l.behind)
	}
	l.seq = 5
	l.mark(peer.Mark{
		Seq: 9,
	})
	if l.behind.Seq != 9 {
		t.Fatalf("mark %+v, want 9", l.behind)
	}
}

// Each configuration had each gateway tell each keeper of its engine, and the keeper answer
// with all that it holds.
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
	sent := func(n peer.EngineNotice) bool {
		conn := l.conn
		l.conn = nil // nothing can be sent now: what has to be stays to be told
		l.told = true
		l.tell(wardturn.Member{
			ID: n.Upstream,
		}, n)
		l.conn = conn
		return !l.told
	}
	for _, c := range []struct {
		name   string
		notice peer.EngineNotice
		want   bool
	}{
		{"the first", peer.EngineNotice{Config: 1, Upstream: "i-1", Spec: spec}, true},
		{"a version that changes nothing", peer.EngineNotice{Config: 2, Upstream: "i-1", Spec: spec}, false},
		{"another specification", peer.EngineNotice{Config: 3, Upstream: "i-1", Spec: larger}, true},
		{"another lifetime", peer.EngineNotice{Config: 3, Upstream: "i-2", Spec: larger}, true},
	} {
		if got := sent(c.notice); got != c.want {
			t.Errorf("%s: told %v, want %v", c.name, got, c.want)
		}
	}
	if l.notice.Config != 3 {
		t.Errorf("a new connection would carry version %d", l.notice.Config)
	}
}
