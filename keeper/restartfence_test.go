package keeper_test

import (
	"fmt"
	"net"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/keeper"
	"wardturn/policy"
	"wardturn/process"
)

// Guards against an order to the former lifetime of an engine that arrives late and is carried out, since the
// engine has forgotten the fences that it had seen.
var _ = Describe("A keeper whose engine restarts under its ID", func() {
	var (
		e *fakeEngine
		f *fakeFences
	)
	restart := func(startMS int64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state.StartMS = startMS
		e.state.Seq = 0
		e.state.Models[0].Adapters = nil
	}
	// orderFor requests an adapter and returns the first order after that.
	orderFor := func(send func(wardturn.AdapterID), a wardturn.AdapterID) wardturn.EngineOrder {
		GinkgoHelper()
		before := len(e.givenOrders())
		send(a)
		Eventually(e.givenOrders, eventTimeout).Should(HaveLen(before + 1))
		return e.givenOrders()[before]
	}
	start := func() func(wardturn.AdapterID) {
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
		_, conn := connect(ln.Addr().String())
		cfg := engineConfig(false)
		cfg.Upstream = wardturn.NewUpstreamID("i-1", 1000)
		Expect(conn.Send(cfg)).To(Succeed())
		return func(a wardturn.AdapterID) {
			Expect(conn.Send(loadRequest(a))).To(Succeed())
		}
	}
	BeforeEach(func() {
		e = emptyEngine()
		e.state.StartMS = 1000
		f = &fakeFences{}
	})

	It("gives the later lifetime orders with a higher fence", func() {
		send := start()
		first := orderFor(send, "a")
		restart(2000)
		Eventually(func() wardturn.Fence {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.next
		}, eventTimeout).Should(BeEquivalentTo(2))
		requested := 0
		Eventually(func() wardturn.Fence {
			requested++ // an order may still have the fence of before
			return orderFor(send, wardturn.AdapterID(fmt.Sprint("b", requested))).Fence
		}, eventTimeout).Should(BeNumerically(">", first.Fence))
	})

	It("gives orders with its fence while no other can be had", func() {
		send := start()
		first := orderFor(send, "a")
		f.mu.Lock()
		f.failing = true
		f.mu.Unlock()
		restart(2000)
		Expect(orderFor(send, "b").Fence).To(Equal(first.Fence))
	})
})
