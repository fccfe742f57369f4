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

// startKeeper starts a keeper of an engine and returns it with its address.
func startKeeper(name wardturn.Incarnation, e *fakeEngine) (*keeper.Keeper, string) {
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
		Fences:   &fakeFences{},
		Policy:   policy.Default{},
		Listener: ln,
	})
	DeferCleanup(k.Close)
	return k, ln.Addr().String()
}

// gatewayClient is the gateway's side of a connection that keeps all received messages.
type gatewayClient struct {
	conn     chan *peer.Conn
	messages chan peer.Message
}

func (g *gatewayClient) Connected(c *peer.Conn)              { g.conn <- c }
func (g *gatewayClient) Closed(*peer.Conn, error)            {}
func (g *gatewayClient) Handle(_ *peer.Conn, m peer.Message) { g.messages <- m }

// gatewayCount is the number of connected gateways, used in their process names.
var gatewayCount atomic.Int64

// connect connects a gateway to a keeper.
func connect(addr string) (*gatewayClient, *peer.Conn) {
	return connectFrom("", addr)
}

// connectFrom connects a gateway on a host to a keeper.
func connectFrom(host, addr string) (*gatewayClient, *peer.Conn) {
	g := &gatewayClient{
		conn:     make(chan *peer.Conn, 8),
		messages: make(chan peer.Message, 1000),
	}
	c := peer.NewClient(addr, nil, process.Clock{}, peer.Identity{
		Role:    peer.RoleEntry,
		Process: wardturn.Incarnation(fmt.Sprint("g", gatewayCount.Add(1))),
		Host:    host,
		Config: func() wardturn.Offset {
			return 0
		},
	}, g)
	DeferCleanup(c.Close)
	var conn *peer.Conn
	Eventually(g.conn, eventTimeout).Should(Receive(&conn))
	return g, conn
}

func emptyEngine() *fakeEngine {
	return &fakeEngine{
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

func engineConfig(viaRelay bool) *peer.EngineConfig {
	return &peer.EngineConfig{
		Config:   1,
		Upstream: "i-1",
		Position: 1,
		ViaRelay: viaRelay,
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

func loadRequest(adapter wardturn.AdapterID) *peer.LoadRequest {
	return &peer.LoadRequest{
		Adapter: wardturn.AdapterVersion{
			Model:   "m",
			Adapter: adapter,
			Version: 1,
		},
		Waiting: 1,
	}
}

// next waits for the next message of a type and skips others.
func next[T peer.Message](g *gatewayClient) T {
	GinkgoHelper()
	var found T
	Eventually(func() bool {
		var m peer.Message
		Eventually(g.messages, eventTimeout).Should(Receive(&m))
		t, ok := m.(T)
		found = t
		return ok
	}, eventTimeout).Should(BeTrue())
	return found
}

var _ = Describe("A keeper with a gateway that gets its state updates from a relay", func() {
	var (
		addr         string
		conn         *peer.Conn
		gateway      *gatewayClient
		otherConn    *peer.Conn // of a second gateway, which gets all updates directly
		otherGateway *gatewayClient
	)
	BeforeEach(func() {
		_, addr = startKeeper("k", emptyEngine())
		gateway, conn = connect(addr)
		otherGateway, otherConn = connect(addr)
		Expect(otherConn.Send(engineConfig(false))).To(Succeed())
		Expect(next[*peer.EngineUpdate](otherGateway).Full).To(BeTrue())
		Expect(conn.Send(engineConfig(true))).To(Succeed())
	})

	It("sends that gateway only the adapters that it requested", func() {
		Expect(otherConn.Send(loadRequest("b"))).To(Succeed())
		Eventually(func() bool {
			u := next[*peer.EngineUpdate](otherGateway)
			return len(u.Adapters) == 1 && u.Adapters[0].State == peer.HeldReady
		}, eventTimeout).Should(BeTrue())
		Expect(conn.Send(loadRequest("a"))).To(Succeed())
		u := next[*peer.EngineUpdate](gateway)
		Expect(u.Requested).To(BeTrue())
		Expect(u.Adapters).To(HaveLen(1))
		Expect(u.Adapters[0].Adapter.Adapter).To(BeEquivalentTo("a"))
	})

	It("responds without delay if the adapter is already loaded", func() {
		Expect(otherConn.Send(loadRequest("a"))).To(Succeed())
		Eventually(func() int {
			return len(next[*peer.EngineUpdate](otherGateway).Adapters)
		}, eventTimeout).Should(Equal(1))
		Expect(conn.Send(loadRequest("a"))).To(Succeed())
		u := next[*peer.EngineUpdate](gateway)
		Expect(u.Requested).To(BeTrue())
		Expect(u.Adapters[0].State).To(Equal(peer.HeldReady))
	})

	It("sends its sequence number when the gateway reports usage", func() {
		Expect(otherConn.Send(loadRequest("a"))).To(Succeed())
		u := next[*peer.EngineUpdate](otherGateway)
		Expect(conn.Send(&peer.AdapterUsage{})).To(Succeed())
		Expect(next[*peer.Mark](gateway).Seq).To(BeNumerically(">=", u.Seq))
	})
})

var _ = Describe("A keeper that relays another keeper", func() {
	var (
		relayed     *keeper.Keeper
		addr        string // of the relayed keeper
		gateway     *gatewayClient
		conn        *peer.Conn // to the relaying keeper
		relayedConn *peer.Conn // to the relayed keeper
	)
	BeforeEach(func() {
		relayed, addr = startKeeper("far", emptyEngine())
		_, relayAddr := startKeeper("relay", emptyEngine())
		gateway, conn = connect(relayAddr)
		_, relayedConn = connect(addr)
		Expect(relayedConn.Send(engineConfig(true))).To(Succeed())
		Expect(conn.Send(&peer.Follow{Keeper: addr})).To(Succeed())
		m := next[*peer.RelayedUpdate](gateway)
		Expect(m.Keeper).To(Equal(addr))
		Expect(m.Process).To(BeEquivalentTo("far"))
		Expect(m.Update.Full).To(BeTrue())
	})

	It("forwards each change, and the full state to gateways that follow later", func() {
		Expect(relayedConn.Send(loadRequest("a"))).To(Succeed())
		Eventually(func() bool {
			u := next[*peer.RelayedUpdate](gateway).Update
			return len(u.Adapters) == 1 && u.Adapters[0].State == peer.HeldReady
		}, eventTimeout).Should(BeTrue())
		Expect(conn.Send(&peer.Follow{Keeper: addr})).To(Succeed())
		u := next[*peer.RelayedUpdate](gateway).Update
		Expect(u.Full).To(BeTrue())
		Expect(u.Adapters).To(HaveLen(1))
	})

	It("reports that the connection to the keeper is lost", func() {
		relayed.Close()
		Eventually(func() bool {
			return next[*peer.RelayedUpdate](gateway).Lost
		}, eventTimeout).Should(BeTrue())
	})

	It("sends nothing more to a gateway that stops following", func() {
		_, secondAddr := startKeeper("second", emptyEngine())
		Expect(conn.Send(&peer.Follow{Keeper: addr, Stop: true})).To(Succeed())
		Expect(conn.Send(&peer.Follow{Keeper: secondAddr})).To(Succeed())
		Eventually(func() string { // updates sent before the stop have arrived by then
			return next[*peer.RelayedUpdate](gateway).Keeper
		}, eventTimeout).Should(Equal(secondAddr))
		Expect(relayedConn.Send(loadRequest("a"))).To(Succeed())
		Consistently(func() bool {
			select {
			case m := <-gateway.messages:
				r, ok := m.(*peer.RelayedUpdate)
				return ok && r.Keeper == addr
			default:
				return false
			}
		}, "300ms").Should(BeFalse())
	})
})
