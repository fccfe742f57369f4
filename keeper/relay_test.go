package keeper_test

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/keeper"
	"wardturn/peer"
	"wardturn/policy"
	"wardturn/process"
)

// startKeeper starts a keeper of an engine and returns its address.
func startKeeper(name wardturn.Incarnation, e *engine) (*keeper.Keeper, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	k := keeper.New(keeper.Deps{
		Config: keeper.Config{
			Process: name,
		},
		Clock:    process.Clock{},
		Logger:   hclog.NewNullLogger(),
		Scope:    tally.NoopScope,
		Engine:   e,
		Fences:   &fences{},
		Policy:   policy.Default{},
		Listener: ln,
	})
	DeferCleanup(k.Close)
	return k, ln.Addr().String()
}

// words is a gateway's end that keeps all it is told.
type words struct {
	conn chan *peer.Conn
	all  chan peer.Message
}

func (w *words) Connected(c *peer.Conn)              { w.conn <- c }
func (w *words) Closed(*peer.Conn, error)            {}
func (w *words) Handle(_ *peer.Conn, m peer.Message) { w.all <- m }

// ends numbers the gateways' ends.
var ends atomic.Int64

// connect connects a gateway's end to a keeper.
func connect(addr string) (*words, *peer.Conn) {
	return connectFrom("", addr)
}

// connectFrom is connect from a host.
func connectFrom(host, addr string) (*words, *peer.Conn) {
	w := &words{
		conn: make(chan *peer.Conn, 8),
		all:  make(chan peer.Message, 1000),
	}
	c := peer.NewClient(addr, nil, process.Clock{}, peer.Identity{
		Role:    peer.RoleEntry,
		Process: wardturn.Incarnation(fmt.Sprint("g", ends.Add(1))),
		Host:    host,
		Config: func() wardturn.Offset {
			return 0
		},
	}, w)
	DeferCleanup(c.Close)
	var conn *peer.Conn
	Eventually(w.conn, soon).Should(Receive(&conn))
	return w, conn
}

func emptyEngine() *engine {
	return &engine{
		state: wardturn.EngineState{
			Seq: 7,
			Models: []wardturn.LoadedModel{
				{
					Name: "m",
				},
			},
		},
	}
}

func engineNotice(relayed bool) *peer.EngineNotice {
	return &peer.EngineNotice{
		Config:   1,
		Upstream: "i-1",
		Seen:     1,
		Relayed:  relayed,
		Spec: wardturn.EngineSpec{
			AdapterSlots: 4,
			Models: []wardturn.ModelSpec{
				{
					Name: "m",
				},
			},
		},
	}
}

func wishFor(adapter wardturn.AdapterID) *peer.LoadWish {
	return &peer.LoadWish{
		Adapter: wardturn.AdapterVersion{
			Model:   "m",
			Adapter: adapter,
			Version: 1,
		},
		Waiting: 1,
	}
}

// next returns the next message of a type.
func next[T peer.Message](w *words) T {
	GinkgoHelper()
	var found T
	Eventually(func() bool {
		var m peer.Message
		Eventually(w.all, soon).Should(Receive(&m))
		t, ok := m.(T)
		found = t
		return ok
	}, soon).Should(BeTrue())
	return found
}

var _ = Describe("A keeper whose words a relay brings to a gateway", func() {
	var (
		addr  string
		conn  *peer.Conn
		w     *words
		other *peer.Conn // of a second gateway, which listens
		heard *words
	)
	BeforeEach(func() {
		_, addr = startKeeper("k", emptyEngine())
		w, conn = connect(addr)
		heard, other = connect(addr)
		Expect(other.Send(engineNotice(false))).To(Succeed())
		Expect(next[*peer.Holding](heard).Full).To(BeTrue())
		Expect(conn.Send(engineNotice(true))).To(Succeed())
	})

	It("tells that gateway only what it asked for", func() {
		Expect(other.Send(wishFor("b"))).To(Succeed())
		Eventually(func() bool {
			h := next[*peer.Holding](heard)
			return len(h.Adapters) == 1 && h.Adapters[0].State == peer.HeldReady
		}, soon).Should(BeTrue())
		Expect(conn.Send(wishFor("a"))).To(Succeed())
		h := next[*peer.Holding](w)
		Expect(h.Answer).To(BeTrue())
		Expect(h.Adapters).To(HaveLen(1))
		Expect(h.Adapters[0].Adapter.Adapter).To(BeEquivalentTo("a"))
	})

	It("answers at once for what is there already", func() {
		Expect(other.Send(wishFor("a"))).To(Succeed())
		Eventually(func() int {
			return len(next[*peer.Holding](heard).Adapters)
		}, soon).Should(Equal(1))
		Expect(conn.Send(wishFor("a"))).To(Succeed())
		h := next[*peer.Holding](w)
		Expect(h.Answer).To(BeTrue())
		Expect(h.Adapters[0].State).To(Equal(peer.HeldReady))
	})

	It("marks how far its changes go when the gateway uses the engine", func() {
		Expect(other.Send(wishFor("a"))).To(Succeed())
		h := next[*peer.Holding](heard)
		Expect(conn.Send(&peer.Usage{})).To(Succeed())
		Expect(next[*peer.Mark](w).Seq).To(BeNumerically(">=", h.Seq))
	})
})

var _ = Describe("A keeper that relays another", func() {
	var (
		far  *keeper.Keeper
		addr string // of the far one
		w    *words
		conn *peer.Conn // to the relay
		ask  *peer.Conn // to the far one
	)
	BeforeEach(func() {
		far, addr = startKeeper("far", emptyEngine())
		_, relay := startKeeper("relay", emptyEngine())
		w, conn = connect(relay)
		_, ask = connect(addr)
		Expect(ask.Send(engineNotice(true))).To(Succeed())
		Expect(conn.Send(&peer.Follow{Keeper: addr})).To(Succeed())
		m := next[*peer.Relayed](w)
		Expect(m.Keeper).To(Equal(addr))
		Expect(m.Process).To(BeEquivalentTo("far"))
		Expect(m.Holding.Full).To(BeTrue())
	})

	It("passes on each change, and all of it to those that follow later", func() {
		Expect(ask.Send(wishFor("a"))).To(Succeed())
		Eventually(func() bool {
			h := next[*peer.Relayed](w).Holding
			return len(h.Adapters) == 1 && h.Adapters[0].State == peer.HeldReady
		}, soon).Should(BeTrue())
		Expect(conn.Send(&peer.Follow{Keeper: addr})).To(Succeed())
		h := next[*peer.Relayed](w).Holding
		Expect(h.Full).To(BeTrue())
		Expect(h.Adapters).To(HaveLen(1))
	})

	It("says that it has lost the keeper", func() {
		far.Close()
		Eventually(func() bool {
			return next[*peer.Relayed](w).Lost
		}, soon).Should(BeTrue())
	})

	It("tells nothing more to a gateway that ends to follow", func() {
		_, second := startKeeper("second", emptyEngine())
		Expect(conn.Send(&peer.Follow{Keeper: addr, End: true})).To(Succeed())
		Expect(conn.Send(&peer.Follow{Keeper: second})).To(Succeed())
		Eventually(func() string { // what was told before the end has come by then
			return next[*peer.Relayed](w).Keeper
		}, soon).Should(Equal(second))
		Expect(ask.Send(wishFor("a"))).To(Succeed())
		Consistently(func() bool {
			select {
			case m := <-w.all:
				r, ok := m.(*peer.Relayed)
				return ok && r.Keeper == addr
			default:
				return false
			}
		}, "300ms").Should(BeFalse())
	})
})
