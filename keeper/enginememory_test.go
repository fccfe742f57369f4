package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
)

// sizedConfig returns a configuration of an engine with four slots and memory for two adapters.
func sizedConfig() *peer.EngineConfig {
	cfg := engineConfig(false)
	cfg.Spec.Memory = 1000
	cfg.Spec.Models = []wardturn.ModelSpec{
		{
			Name:        "m",
			Weights:     800,
			AdapterSize: 100,
		},
	}
	return cfg
}

// sendSized sends a configuration as gateways do: its sizes come before.
func sendSized(c *peer.Conn) {
	GinkgoHelper()
	cfg := sizedConfig()
	Expect(c.Send(peer.NewEngineSizes(cfg.Config, cfg.Spec))).To(Succeed())
	Expect(c.Send(cfg)).To(Succeed())
}

// Guards against an engine that falls because it is ordered to load more than its memory holds.
var _ = Describe("A keeper whose engine has less memory than slots", func() {
	var (
		e    *fakeEngine
		addr string
	)
	loaded := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.state.Models[0].Adapters)
	}
	// requestAll requests four adapters and waits until as many as fit are loaded.
	requestAll := func(c *peer.Conn) {
		GinkgoHelper()
		for _, a := range []wardturn.AdapterID{"a", "b", "c", "d"} {
			Expect(c.Send(loadRequest(a))).To(Succeed())
		}
		Eventually(loaded, eventTimeout, time.Millisecond).Should(Equal(2))
		Consistently(loaded, "150ms", time.Millisecond).Should(Equal(2))
	}
	BeforeEach(func() {
		e = emptyEngine()
		_, addr = startKeeper("k", e)
	})

	It("orders only the adapters that the memory holds", func() {
		_, c := connect(addr)
		sendSized(c)
		requestAll(c)
	})

	It("does so after a gateway of an older build, which does not know the sizes, has configured it", func() {
		for _, version := range []int64{1, 2} {
			_, newer := connect(addr)
			sendSized(newer)
			older, olderConn := connectFrom("host without-features", addr)
			cfg := engineConfig(false)
			cfg.Config = version
			Expect(olderConn.Send(cfg)).To(Succeed())
			next[*peer.EngineUpdate](older)
			requestAll(newer)
		}
	})
})
