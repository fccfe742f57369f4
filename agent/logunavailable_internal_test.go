package agent

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
	"wardturn/standin"
)

// TestRefusalsWhileLogUnavailable checks the refusal of a non-repeatable request while
// the log is unavailable. An agent that has the entry's configuration reports that the
// log is unavailable for the claim; an agent that is behind reports that its
// configuration is stale. The request must run in neither case.
func TestRefusalsWhileLogUnavailable(t *testing.T) {
	for _, c := range []struct {
		name   string
		config wardturn.Offset // of the entry; the agent has read no configuration
		want   wardturn.Reason
	}{
		{
			name:   "up to date",
			config: 0,
			want:   wardturn.ReasonLogUnavailable,
		},
		{
			name:   "behind",
			config: 1,
			want:   wardturn.ReasonStaleConfig,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			clock := standin.NewClock()
			log := standin.NewLog(clock, standin.LogConfig{})
			log.SetFaults(standin.LogFaults{
				Down: true,
			})
			service := &countingService{}
			a := newPlainAgent(t, clock, log, service)
			id := wardturn.AttemptID{
				Entry: "e1",
				Seq:   1,
			}
			a.onSubmit(nil, &peer.Submit{
				Attempt:    id,
				Service:    "s",
				Method:     "POST",
				Key:        "k",
				KeyCreated: clock.Now(),
				TimeLeft:   time.Hour,
				Config:     c.config,
			})
			g.Eventually(func() wardturn.Outcome {
				clock.Advance(10 * time.Millisecond)
				a.mu.Lock()
				defer a.mu.Unlock()
				if t := a.attempts[id]; t != nil {
					return t.outcome
				}
				return wardturn.Outcome{}
			}).WithTimeout(eventTimeout).Should(gomega.Equal(wardturn.Refused(c.want, time.Second)))
			g.Expect(service.calls.Load()).To(gomega.BeZero())
		})
	}
}
