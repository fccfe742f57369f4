package keeper_test

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

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

func TestKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keeper")
}

const soon = 5 * time.Second

// engine is a fake engine that records its orders.
type engine struct {
	mu      sync.Mutex
	state   wardturn.EngineState
	orders  []wardturn.EngineOrder
	answers []wardturn.OrderAnswer // results of the next orders; after these all are accepted
	down    bool
	runs    []string      // nil: the engine does not list them
	slow    chan struct{} // if set, reports wait until it is closed
}

func (e *engine) Report() (wardturn.EngineState, error) {
	if e.slow != nil {
		<-e.slow
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return wardturn.EngineState{}, wardturn.ErrUnavailable
	}
	st := e.state
	st.Models = slices.Clone(st.Models) // Order modifies its own copy
	return st, nil
}

func (e *engine) Runs() (ids []string, named bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, false, wardturn.ErrUnavailable
	}
	return slices.Clone(e.runs), e.runs != nil, nil
}

func (e *engine) Order(o wardturn.EngineOrder) wardturn.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if len(e.answers) > 0 {
		a := e.answers[0]
		e.answers = e.answers[1:]
		if a != wardturn.OrderTaken {
			return a
		}
	}
	e.state.Seq++
	e.state.Models[0].Adapters = append(e.state.Models[0].Adapters, wardturn.AdapterVersion{
		Model:   o.Target.Model,
		Adapter: o.Target.Adapter,
		Version: max(o.Version, 1),
	})
	return wardturn.OrderTaken
}

func (e *engine) given() []wardturn.EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wardturn.EngineOrder(nil), e.orders...)
}

// fences is a fake source of fences that fails while away is set.
type fences struct {
	mu   sync.Mutex
	next wardturn.Fence
	away bool
}

func (f *fences) TakeFence(wardturn.Incarnation) (wardturn.Fence, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return 0, wardturn.ErrUnavailable
	}
	f.next++
	return f.next, nil
}

// gatewayEnd is the gateway's side of a connection to a keeper.
type gatewayEnd struct {
	conn     chan *peer.Conn
	holdings chan *peer.Holding
}

func (g *gatewayEnd) Connected(c *peer.Conn)   { g.conn <- c }
func (g *gatewayEnd) Closed(*peer.Conn, error) {}
func (g *gatewayEnd) Handle(_ *peer.Conn, m peer.Message) {
	if h, ok := m.(*peer.Holding); ok {
		g.holdings <- h
	}
}

var _ = Describe("Keeper", func() {
	var (
		e    *engine
		f    *fences
		g    *gatewayEnd
		conn *peer.Conn
	)
	adapter := wardturn.AdapterVersion{
		Model:   "m",
		Adapter: "a",
		Version: 1,
	}
	start := func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		k := keeper.New(keeper.Deps{
			Config: keeper.Config{
				Process: "k",
			},
			Clock:    process.Clock{},
			Logger:   hclog.NewNullLogger(),
			Scope:    tally.NoopScope,
			Engine:   e,
			Fences:   f,
			Policy:   policy.Default{},
			Listener: ln,
		})
		DeferCleanup(k.Close)
		g = &gatewayEnd{
			conn:     make(chan *peer.Conn, 8),
			holdings: make(chan *peer.Holding, 100),
		}
		c := peer.NewClient(ln.Addr().String(), nil, process.Clock{}, peer.Identity{
			Role:    peer.RoleEntry,
			Process: "g",
			Config: func() wardturn.Offset {
				return 0
			},
		}, g)
		DeferCleanup(c.Close)
		Eventually(g.conn, soon).Should(Receive(&conn))
	}
	name := func(upstream wardturn.UpstreamID, seen wardturn.Position) {
		Expect(conn.Send(&peer.EngineNotice{
			Config:   1,
			Upstream: upstream,
			Seen:     seen,
			Spec: wardturn.EngineSpec{
				AdapterSlots: 4,
				Models: []wardturn.ModelSpec{
					{
						Name: "m",
					},
				},
			},
		})).To(Succeed())
	}
	notice := func() {
		name("i-1", 1)
	}
	wish := func() {
		Expect(conn.Send(&peer.LoadWish{
			Adapter: adapter,
			Waiting: 1,
		})).To(Succeed())
	}

	BeforeEach(func() {
		f = &fences{}
		e = &engine{
			state: wardturn.EngineState{
				Seq: 7,
				Models: []wardturn.LoadedModel{
					{
						Name: "m",
					},
				},
			},
		}
	})

	It("gives orders with its fence, the engine's lifetime and sequence number", func() {
		start()
		notice()
		wish()
		Eventually(e.given, soon).Should(HaveLen(1))
		o := e.given()[0]
		Expect(o.Fence).To(BeEquivalentTo(1))
		Expect(o.Upstream).To(BeEquivalentTo("i-1"))
		Expect(o.Expected).To(BeEquivalentTo(7))
		Expect(o.Holder).To(BeEquivalentTo("k"))
	})

	It("sends the full state first and then changes", func() {
		start()
		notice()
		var h *peer.Holding
		Eventually(g.holdings, soon).Should(Receive(&h))
		Expect(h.Full).To(BeTrue())
		wish()
		Eventually(func() int {
			Eventually(g.holdings, soon).Should(Receive(&h))
			Expect(h.Full).To(BeFalse())
			return len(h.Adapters) // an update with only a new lifetime may come first
		}, soon).Should(Equal(1))
	})

	It("sends the engine's state to a gateway that connected before the first report", func() {
		e.slow = make(chan struct{})
		start()
		notice()
		var h *peer.Holding
		Eventually(g.holdings, soon).Should(Receive(&h))
		Expect(h.Known).To(BeFalse())
		close(e.slow)
		Eventually(func() bool {
			Eventually(g.holdings, soon).Should(Receive(&h))
			return h.Known
		}, soon).Should(BeTrue())
	})

	It("sends the tokens of long prompts in prefill, until they are processed or their gateway disconnects", func() {
		start()
		notice()
		reading := func() int {
			var h *peer.Holding
			Eventually(g.holdings, soon).Should(Receive(&h))
			return h.Reading
		}
		read := func(tokens int) {
			Expect(conn.Send(&peer.Reading{
				Tokens: tokens,
			})).To(Succeed())
		}
		read(9000)
		Eventually(reading, soon).Should(Equal(9000))
		read(0)
		Eventually(reading, soon).Should(BeZero())
		read(9000)
		Eventually(reading, soon).Should(Equal(9000))
		conn.Close()
		Eventually(g.conn, soon).Should(Receive(&conn))
		notice()
		Eventually(reading, soon).Should(BeZero())
	})

	It("sends the number of gateways", func() {
		start()
		notice()
		var h *peer.Holding
		Eventually(g.holdings, soon).Should(Receive(&h))
		Expect(h.Gateways).To(Equal(1))
		conn.Close()
		Eventually(g.conn, soon).Should(Receive(&conn))
		notice()
		Eventually(g.holdings, soon).Should(Receive(&h))
		Expect(h.Gateways).To(Equal(1))
	})

	It("sends the limit in the engine's reports, and that it has ended", func() {
		start()
		notice()
		var h *peer.Holding
		Eventually(g.holdings, soon).Should(Receive(&h))
		Expect(h.Limit).To(BeZero())
		for _, limit := range []wardturn.RequestRate{4.5, 0} {
			e.mu.Lock()
			e.state.Limit = limit
			e.mu.Unlock()
			Eventually(g.holdings, soon).Should(Receive(&h))
			Expect(h.Limit).To(Equal(limit))
		}
	})

	It("keeps the later lifetime of the engine when a gateway still sends the earlier one", func() {
		start()
		name("i-2", 20)
		name("i-1", 10)
		wish()
		Eventually(e.given, soon).Should(HaveLen(1))
		Expect(e.given()[0].Upstream).To(BeEquivalentTo("i-2"))
	})

	It("learns from the engine's report that it restarted under the same name, and ignores a gateway with the earlier lifetime", func() {
		e.state.Born = 1000
		start()
		name(wardturn.Lifetime("i-1", 1000), 10)
		wish()
		Eventually(e.given, soon).Should(HaveLen(1))
		Expect(e.given()[0].Upstream).To(Equal(wardturn.Lifetime("i-1", 1000)))
		e.mu.Lock()
		e.state.Born = 2000
		e.state.Seq = 0
		e.state.Models[0].Adapters = nil
		e.mu.Unlock()
		Eventually(func() wardturn.UpstreamID {
			return (<-g.holdings).Upstream
		}, soon).Should(Equal(wardturn.Lifetime("i-1", 2000)))
		name(wardturn.Lifetime("i-1", 1000), 11) // the entry of the earlier lifetime was written again
		wish()
		Eventually(e.given, soon).Should(HaveLen(2))
		Expect(e.given()[1].Upstream).To(Equal(wardturn.Lifetime("i-1", 2000)))
		Expect(e.given()[1].Expected).To(BeZero())
	})

	It("gives orders to a new lifetime without delay after the previous one refused an order", func() {
		e.answers = []wardturn.OrderAnswer{wardturn.OrderInvalid}
		start()
		name("i-1", 10)
		wish()
		Eventually(e.given, soon).Should(HaveLen(1))
		renamed := time.Now()
		name("i-2", 20)
		wish()
		Eventually(e.given, soon, time.Millisecond).Should(HaveLen(2))
		Expect(time.Since(renamed)).To(BeNumerically("<", 400*time.Millisecond)) // invalidPause is 500 ms
		Expect(e.given()[1].Upstream).To(BeEquivalentTo("i-2"))
	})

	It("gives no orders before it has a fence", func() {
		f.away = true
		start()
		notice()
		wish()
		Consistently(e.given, 100*time.Millisecond).Should(BeEmpty())
		f.mu.Lock()
		f.away = false
		f.mu.Unlock()
		Eventually(func() int {
			wish()
			return len(e.given())
		}, soon, 50*time.Millisecond).Should(BeNumerically(">", 0))
	})

	It("gives no orders before it knows the engine's lifetime", func() {
		start()
		wish()
		Consistently(e.given, 100*time.Millisecond).Should(BeEmpty())
	})

	It("takes a fence soon after the store accepts records again", func() {
		f.away = true
		start()
		notice()
		time.Sleep(1200 * time.Millisecond) // several attempts have failed
		f.mu.Lock()
		f.away = false
		f.mu.Unlock()
		wish()
		Eventually(func() int {
			wish()
			return len(e.given())
		}, 700*time.Millisecond, 50*time.Millisecond).Should(BeNumerically(">", 0))
	})

	It("takes a new fence when a newer holder has given orders", func() {
		e.answers = []wardturn.OrderAnswer{wardturn.OrderStale}
		start()
		notice()
		wish()
		Eventually(func() int {
			wish()
			return len(e.given())
		}, soon, 50*time.Millisecond).Should(BeNumerically(">=", 2))
		Expect(e.given()[1].Fence).To(BeEquivalentTo(2))
	})

	It("repeats an order without a response, with the sequence number that the engine reports then", func() {
		e.answers = []wardturn.OrderAnswer{wardturn.OrderLost, wardturn.OrderConflict}
		start()
		notice()
		wish()
		Eventually(func() int {
			wish()
			return len(e.given())
		}, soon, 20*time.Millisecond).Should(BeNumerically(">=", 3))
		Expect(e.given()[2].Expected).To(BeEquivalentTo(7))
	})

	It("gives no order while the engine reports one in progress, and gives one soon after that", func() {
		busy := func(is bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.state.Busy = is
		}
		busy(true)
		start()
		notice()
		Consistently(func() []wardturn.EngineOrder {
			wish()
			return e.given()
		}, 300*time.Millisecond, 50*time.Millisecond).Should(BeEmpty())
		busy(false)
		ended := time.Now()
		Eventually(e.given, soon, time.Millisecond).Should(HaveLen(1))
		Expect(time.Since(ended)).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("sends that the engine's state is unknown when the engine does not respond", func() {
		start()
		notice()
		e.mu.Lock()
		e.down = true
		e.mu.Unlock()
		Eventually(func() bool {
			select {
			case h := <-g.holdings:
				return !h.Known
			default:
				return false
			}
		}, soon, 10*time.Millisecond).Should(BeTrue())
	})
})
