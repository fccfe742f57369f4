package agent_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"wardturn"
	"wardturn/agent"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/standin"
)

// eventTimeout is the timeout for expected events.
const eventTimeout = 20 * time.Second

// TestCatchUpCountsAgainstDeadline checks that the time in which the agent catches up
// with the entry's configuration counts against the deadline of a request.
func TestCatchUpCountsAgainstDeadline(t *testing.T) {
	const left, behind = 200 * time.Millisecond, 300 * time.Millisecond
	g := gomega.NewWithT(t)
	clock := standin.NewClock()
	x := newTestEntryWithClock(t, agent.Config{}, clock, standin.LogFaults{})
	g.Eventually(func() bool {
		clock.Advance(time.Millisecond)
		st := x.agent.Status()
		return st.Fence > 0 && st.Config > 0 && st.Slots[0].State == decide.SlotReady
	}).WithTimeout(eventTimeout).Should(gomega.BeTrue())
	x.send(&peer.Submit{
		Attempt:    attempt(1),
		Adapter:    adapterA,
		Repeatable: true,
		Config:     x.agent.Status().Config + 1,
		TimeLeft:   left,
		Credit:     peer.CreditWindow,
	})
	x.expectNothing(99) // the agent has received the request and not replied
	clock.Advance(behind)
	_, err := x.log.Append(context.Background(), []byte("another's record"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	end, ok := x.next().(*peer.End)
	g.Expect(ok).To(gomega.BeTrue(), "the request started")
	g.Expect(end.Outcome.Kind).To(gomega.Equal(wardturn.NotRun))
	g.Expect(end.Outcome.Reason).To(gomega.Equal(wardturn.ReasonDeadline))
}
