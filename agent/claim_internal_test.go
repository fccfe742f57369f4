package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
	"wardturn/standin"
)

// patience bounds a wait for something that must come.
const patience = 20 * time.Second

// gatedLog holds back appends.
type gatedLog struct {
	wardturn.Log
	entered chan struct{} // an append waits
	gate    chan struct{} // closed to let it go
}

func (l *gatedLog) Append(ctx context.Context, data []byte) (wardturn.Offset, error) {
	l.entered <- struct{}{}
	<-l.gate
	return l.Log.Append(ctx, data)
}

// countedService counts its calls.
type countedService struct {
	calls atomic.Int32
}

func (s *countedService) Call(context.Context, wardturn.Request) (wardturn.ServiceResponse, error) {
	s.calls.Add(1)
	return wardturn.ServiceResponse{
		Status: 200,
	}, nil
}

// claiming is an agent with a charge whose claim waits for the log.
type claiming struct {
	*Agent
	clock   *standin.Clock
	log     *gatedLog
	service *countedService
	id      wardturn.AttemptID
}

func newClaiming(t *testing.T, left time.Duration) *claiming {
	t.Helper()
	clock := standin.NewClock()
	c := &claiming{
		clock: clock,
		log: &gatedLog{
			Log:     standin.NewLog(clock, standin.LogConfig{}),
			entered: make(chan struct{}, 1),
			gate:    make(chan struct{}),
		},
		service: &countedService{},
		id: wardturn.AttemptID{
			Entry: "e1",
			Seq:   1,
		},
	}
	c.Agent = newPlainAgent(t, clock, c.log, c.service)
	c.admit(nil, &peer.Submit{
		Attempt:    c.id,
		Service:    "s",
		Method:     "POST",
		Key:        "k",
		KeyCreated: clock.Now(),
		TimeLeft:   left,
	}, clock.Now(), true)
	gomega.NewWithT(t).Eventually(func() int {
		clock.Advance(time.Millisecond) // the claim waits a moment for others
		return len(c.log.entered)
	}).WithTimeout(patience).Should(gomega.Equal(1))
	return c
}

// outcome lets the append go and returns the attempt's outcome.
func (c *claiming) outcome(t *testing.T) wardturn.Outcome {
	t.Helper()
	close(c.log.gate)
	var outcome wardturn.Outcome
	gomega.NewWithT(t).Eventually(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		outcome = c.attempts[c.id].outcome
		return c.attempts[c.id].ended
	}).WithTimeout(patience).Should(gomega.BeTrue())
	return outcome
}

// TestChargeDoesNotBeginLate checks that a request whose claim took longer than its
// deadline allows is not given to the service.
func TestChargeDoesNotBeginLate(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClaiming(t, 200*time.Millisecond)
	c.clock.Advance(300 * time.Millisecond)
	g.Expect(c.outcome(t)).To(gomega.Equal(wardturn.Refused(wardturn.ReasonDeadline, 0)))
	g.Expect(c.service.calls.Load()).To(gomega.BeZero())
}

// TestChargeOfCallerThatLeftDoesNotBegin checks that a request which its entry
// withdrew while its claim was under way is not given to the service.
func TestChargeOfCallerThatLeftDoesNotBegin(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClaiming(t, time.Minute)
	c.mu.Lock()
	c.onCancel(c.id)
	c.mu.Unlock()
	g.Expect(c.outcome(t)).To(gomega.Equal(wardturn.Refused(wardturn.ReasonCanceled, 0)))
	g.Expect(c.service.calls.Load()).To(gomega.BeZero())
}
