package keeper

import (
	"time"

	"github.com/uber-go/tally/v4"

	"wardturn/decide"
	"wardturn/peer"
)

// turnKeepAlive is the interval at which gateways with waiting prompts get a message, and
// turns are checked for expiry. Gateways that hear nothing for some of these intervals send
// their requests without a turn.
const turnKeepAlive = 100 * time.Millisecond

// prefillTurns grants turns to send prompts to the engine. It is guarded by Keeper.mu.
type prefillTurns struct {
	queue   *decide.PrefillQueue
	numbers map[*peer.Conn]uint64 // gateways that have requested turns
	conns   map[uint64]*peer.Conn // the same, by number
	last    uint64                // the last number given
	expired int                   // turns that have expired and were logged
	metrics turnMetrics
}

// turnMetrics holds the gauges of the turns at the engine.
type turnMetrics struct {
	waiting tally.Gauge // prompts
	tokens  tally.Gauge // of the waiting prompts
	rate    tally.Gauge // measured tokens per second
	budget  tally.Gauge // tokens that may be granted at once; zero: no bound
	expired tally.Counter
}

func newPrefillTurns(scope tally.Scope) prefillTurns {
	return prefillTurns{
		queue:   decide.NewPrefillQueue(),
		numbers: make(map[*peer.Conn]uint64),
		conns:   make(map[uint64]*peer.Conn),
		metrics: turnMetrics{
			waiting: scope.Gauge("turns_waiting"),
			tokens:  scope.Gauge("turns_waiting_tokens"),
			rate:    scope.Gauge("prefill_rate"),
			budget:  scope.Gauge("prefill_budget"),
			expired: scope.Counter("turns_expired"),
		},
	}
}

// number returns the number of a gateway's connection.
func (t *prefillTurns) number(c *peer.Conn) uint64 {
	n, ok := t.numbers[c]
	if !ok {
		t.last++
		n = t.last
		t.numbers[c] = n
		t.conns[n] = c
	}
	return n
}

// grant sends grants for the turns that may start now.
func (t *prefillTurns) grant(now time.Time) {
	granted := t.queue.Grant(now)
	if len(granted) == 0 {
		return
	}
	byConn := make(map[*peer.Conn][]uint64)
	for _, id := range granted {
		c := t.conns[id.Gateway]
		byConn[c] = append(byConn[c], id.Request)
	}
	for c, ids := range byConn {
		t.send(c, ids)
	}
}

// send sends a grant, or an empty one.
func (t *prefillTurns) send(c *peer.Conn, ids []uint64) {
	// A gateway whose connection fails sends without turns, and its prompts are dropped.
	_ = c.Send(&peer.PrefillGrant{
		IDs:  ids,
		Rate: t.queue.Rate() * float64(time.Second/time.Millisecond),
	})
}

// keepAlive sends an empty grant to each gateway with a waiting prompt.
func (t *prefillTurns) keepAlive() {
	notified := make(map[uint64]bool)
	t.queue.WaitingGateways(func(gateway uint64) {
		if !notified[gateway] {
			notified[gateway] = true
			t.send(t.conns[gateway], nil)
		}
	})
}

// updateMetrics updates the gauges.
func (t *prefillTurns) updateMetrics(now time.Time) {
	budget, _ := t.queue.Budget(now)
	t.metrics.budget.Update(float64(budget))
	prompts, tokens := t.queue.Waiting()
	t.metrics.waiting.Update(float64(prompts))
	t.metrics.tokens.Update(float64(tokens))
	t.metrics.rate.Update(t.queue.Rate() * float64(time.Second/time.Millisecond))
}

// handlePrefillRequest queues a gateway's prompt. The lock must be held.
func (k *Keeper) handlePrefillRequest(c *peer.Conn, m *peer.PrefillRequest) {
	if !c.Understands(peer.FeaturePrefillTurns) {
		return
	}
	now := k.clock.Now()
	k.turns.queue.Add(now, decide.PrefillPrompt{
		ID: decide.PrefillTurnID{
			Gateway: k.turns.number(c),
			Request: m.ID,
		},
		Tokens: m.Tokens,
		Urgency: decide.Urgency{
			Rank:     m.Rank,
			Team:     m.Team,
			Since:    now.Add(-m.Waited),
			LateAt:   now.Add(m.LateIn),
			Deadline: now.Add(m.TimeLeft),
		},
		MaxPause: m.MaxPause,
		Rate:     m.Rate / float64(time.Second/time.Millisecond),
	})
	k.grantTurns(now)
}

// handlePrefillDone removes prompts whose prefill has ended. The lock must be held.
func (k *Keeper) handlePrefillDone(c *peer.Conn, m *peer.PrefillDone) {
	n, ok := k.turns.numbers[c]
	if !ok {
		return
	}
	now := k.clock.Now()
	for _, id := range m.IDs {
		k.turns.queue.Done(now, decide.PrefillTurnID{
			Gateway: n,
			Request: id,
		})
	}
	k.grantTurns(now)
}

// grantTurns grants the turns that may start now and reports the backlog. The lock must be
// held.
func (k *Keeper) grantTurns(now time.Time) {
	k.turns.grant(now)
	k.sendUpdate()
}

// dropTurns removes the prompts of a gateway whose connection has ended. The lock must be
// held.
func (k *Keeper) dropTurns(c *peer.Conn) {
	n, ok := k.turns.numbers[c]
	if !ok {
		return
	}
	now := k.clock.Now()
	k.turns.queue.DropGateway(now, n)
	delete(k.turns.numbers, c)
	delete(k.turns.conns, n)
	k.grantTurns(now)
}

// checkTurns ends expired turns, and tells gateways that their prompts still wait.
func (k *Keeper) checkTurns() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if k.turns.queue.Tokens() > 0 {
		k.grantTurns(now)
		k.turns.keepAlive()
	}
	k.turns.updateMetrics(now)
	if n := k.turns.queue.Expired() - k.turns.expired; n > 0 {
		k.turns.expired += n
		k.turns.metrics.expired.Inc(int64(n))
		k.logger.Info("prefill turns expired", "turns", n, "upstream", k.upstream, "rate", k.turns.queue.Rate())
	}
}
