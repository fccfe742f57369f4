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

// eventTimeout is the timeout for expected events.
const eventTimeout = 20 * time.Second

// blockingLog blocks appends until unblock is closed.
type blockingLog struct {
	wardturn.Log
	blocked chan struct{} // receives a value when an append blocks
	unblock chan struct{} // closed to unblock appends
}

func (l *blockingLog) Append(ctx context.Context, data []byte) (wardturn.Offset, error) {
	l.blocked <- struct{}{}
	<-l.unblock
	return l.Log.Append(ctx, data)
}

// countingService is a service that counts its calls.
type countingService struct {
	calls atomic.Int32
}

func (s *countingService) Call(context.Context, wardturn.Request) (wardturn.ServiceResponse, error) {
	s.calls.Add(1)
	return wardturn.ServiceResponse{
		Status: 200,
	}, nil
}

// pendingClaim is an agent with a non-repeatable request whose claim waits for the log.
type pendingClaim struct {
	*Agent
	clock   *standin.Clock
	log     *blockingLog
	service *countingService
	id      wardturn.AttemptID
}

func newPendingClaim(t *testing.T, left time.Duration) *pendingClaim {
	t.Helper()
	clock := standin.NewClock()
	c := &pendingClaim{
		clock: clock,
		log: &blockingLog{
			Log:     standin.NewLog(clock, standin.LogConfig{}),
			blocked: make(chan struct{}, 1),
			unblock: make(chan struct{}),
		},
		service: &countingService{},
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
		clock.Advance(time.Millisecond) // claims are batched for a short time
		return len(c.log.blocked)
	}).WithTimeout(eventTimeout).Should(gomega.Equal(1))
	return c
}

// outcome unblocks the append and returns the attempt's outcome.
func (c *pendingClaim) outcome(t *testing.T) wardturn.Outcome {
	t.Helper()
	close(c.log.unblock)
	var outcome wardturn.Outcome
	gomega.NewWithT(t).Eventually(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		outcome = c.attempts[c.id].outcome
		return c.attempts[c.id].ended
	}).WithTimeout(eventTimeout).Should(gomega.BeTrue())
	return outcome
}

// TestDeadlinePassesDuringClaim checks that a request whose deadline passes during its
// claim is not sent to the service.
func TestDeadlinePassesDuringClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPendingClaim(t, 200*time.Millisecond)
	c.clock.Advance(300 * time.Millisecond)
	g.Expect(c.outcome(t)).To(gomega.Equal(wardturn.Refused(wardturn.ReasonDeadline, 0)))
	g.Expect(c.service.calls.Load()).To(gomega.BeZero())
}

// TestCancelDuringClaim checks that a request that its entry cancels
// during its claim is not sent to the service.
func TestCancelDuringClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPendingClaim(t, time.Minute)
	c.mu.Lock()
	c.onCancel(c.id)
	c.mu.Unlock()
	g.Expect(c.outcome(t)).To(gomega.Equal(wardturn.Refused(wardturn.ReasonCanceled, 0)))
	g.Expect(c.service.calls.Load()).To(gomega.BeZero())
}
