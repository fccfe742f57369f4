package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
)

var _ = Describe("A gateway that asks which requests have begun", func() {
	// ask asks a new keeper of the engine, and returns what the gateway is told.
	ask := func(e *engine, ids ...string) *words {
		_, addr := startKeeper("k", e)
		w, conn := connect(addr)
		Expect(conn.Send(engineNotice(true))).To(Succeed())
		Expect(conn.Send(&peer.StartedQuery{
			IDs: ids,
		})).To(Succeed())
		return w
	}

	It("is told those that the engine runs", func() {
		e := emptyEngine()
		e.runs = []string{"r1", "r2"}
		m := next[*peer.StartedReport](ask(e, "held-up", "r2"))
		Expect(m.IDs).To(Equal([]string{"r2"}))
		Expect(m.Upstream).To(Equal(wardturn.UpstreamID("i-1")))
	})

	It("is told all if the engine does not name its runs", func() {
		m := next[*peer.StartedReport](ask(emptyEngine(), "r1", "r2"))
		Expect(m.IDs).To(Equal([]string{"r1", "r2"}))
	})

	It("is told nothing of those that do not run", func() {
		e := emptyEngine()
		e.runs = []string{}
		w := ask(e, "held-up")
		Consistently(w.all, "100ms").ShouldNot(Receive(BeAssignableToTypeOf(&peer.StartedReport{})))
	})
})
