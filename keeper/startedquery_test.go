package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
)

var _ = Describe("A gateway that queries which of its requests have started", func() {
	// query sends a query to a new keeper of the engine and returns the gateway's messages.
	query := func(e *fakeEngine, ids ...string) *gatewayClient {
		_, addr := startKeeper("k", e)
		g, conn := connect(addr)
		Expect(conn.Send(engineConfig(true))).To(Succeed())
		Expect(conn.Send(&peer.StartedQuery{
			IDs: ids,
		})).To(Succeed())
		return g
	}

	It("gets those that the engine is running", func() {
		e := emptyEngine()
		e.runs = []string{"r1", "r2"}
		m := next[*peer.StartedReport](query(e, "held-up", "r2"))
		Expect(m.IDs).To(Equal([]string{"r2"}))
		Expect(m.Upstream).To(Equal(wardturn.UpstreamID("i-1")))
	})

	It("gets all if the engine does not list its running requests", func() {
		m := next[*peer.StartedReport](query(emptyEngine(), "r1", "r2"))
		Expect(m.IDs).To(Equal([]string{"r1", "r2"}))
	})

	It("gets no report if none is running", func() {
		e := emptyEngine()
		e.runs = []string{}
		g := query(e, "held-up")
		Consistently(g.messages, "100ms").ShouldNot(Receive(BeAssignableToTypeOf(&peer.StartedReport{})))
	})
})
