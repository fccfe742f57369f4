package agent

import (
	"testing"

	"github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
	"wardturn/standin"
)

// lostEntry is the entry's side of the connection that the test closes.
type lostEntry struct {
	connected chan *peer.Conn
}

func (l *lostEntry) Connected(c *peer.Conn) { l.connected <- c }

func (*lostEntry) Handle(*peer.Conn, peer.Message) {}

func (*lostEntry) Closed(*peer.Conn, error) {}

// TestFailedSendStartsOrphanTimer checks that the orphan timer of an attempt starts
// also if a send fails because the connection is closed before the agent's Closed
// handler has run.
func TestFailedSendStartsOrphanTimer(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := standin.NewClock()
	log := &blockingLog{
		Log:     standin.NewLog(clock, standin.LogConfig{}),
		blocked: make(chan struct{}, 1),
		unblock: make(chan struct{}),
	}
	t.Cleanup(func() { close(log.unblock) })
	a := newPlainAgent(t, clock, log, &countingService{})
	entry := &lostEntry{
		connected: make(chan *peer.Conn, 1),
	}
	client := peer.NewClient(a.Addr(), nil, clock, peer.Identity{
		Role:    peer.RoleEntry,
		Process: "e1",
		Config:  func() wardturn.Offset { return 0 },
	}, entry)
	t.Cleanup(client.Close)
	id := wardturn.AttemptID{
		Entry: "e1",
		Seq:   1,
	}
	g.Expect((<-entry.connected).Send(&peer.Submit{
		Attempt:    id,
		Service:    "s",
		Method:     "POST",
		Key:        "k",
		KeyCreated: clock.Now(),
	})).To(gomega.Succeed())
	running := func() *attempt {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.attempts[id]
	}
	g.Eventually(running).WithTimeout(eventTimeout).ShouldNot(gomega.BeNil())
	at := running()
	a.mu.Lock()
	defer a.mu.Unlock()
	at.conn.Close()
	a.send(at, &peer.Head{
		Attempt: id,
	})
	g.Expect(at.conn).To(gomega.BeNil())
	g.Expect(at.orphanTimer).NotTo(gomega.BeNil())
}
