package gateway

import (
	"context"
	"sync"
	"time"

	"wardturn"
	"wardturn/peer"
)

// maxTurnSilence is how long a request waits for its turn without a message about turns
// from the keeper. Keepers with waiting turns send one at least every 100 ms.
const maxTurnSilence = 300 * time.Millisecond

// turn is a request's turn to send its prompt to an engine.
type turn struct {
	id   uint64
	conn *peer.Conn
	// ended is closed when the turn is granted or the connection has ended.
	ended   chan struct{}
	granted bool    // set before ended is closed
	rate    float64 // of the engine in tokens per second as of the grant; zero: unknown
}

// turns holds the requests that wait for a turn at the engine of one keeper.
type turns struct {
	mu       sync.Mutex
	waiting  map[uint64]*turn
	last     uint64    // the last ID given
	lastSeen time.Time // when the keeper last sent a message about turns
	silent   bool      // it sent none during the latest wait that ended
}

// add adds a request that waits for a grant on a connection.
func (ts *turns) add(c *peer.Conn) *turn {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.waiting == nil {
		ts.waiting = make(map[uint64]*turn)
	}
	ts.last++
	t := &turn{
		id:    ts.last,
		conn:  c,
		ended: make(chan struct{}),
	}
	ts.waiting[t.id] = t
	return t
}

// remove removes a request that does not wait any more.
func (ts *turns) remove(t *turn) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	delete(ts.waiting, t.id)
}

// grant ends the waits of the requests whose turns a keeper has granted.
func (ts *turns) grant(now time.Time, c *peer.Conn, m *peer.PrefillGrant) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.lastSeen = now
	ts.silent = false
	for _, id := range m.IDs {
		t := ts.waiting[id]
		if t == nil || t.conn != c {
			continue
		}
		t.granted = true
		t.rate = m.Rate
		delete(ts.waiting, id)
		close(t.ended)
	}
}

// closed ends the waits for grants on a connection that has ended.
func (ts *turns) closed(c *peer.Conn) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.silent = false
	for id, t := range ts.waiting {
		if t.conn == c {
			delete(ts.waiting, id)
			close(t.ended)
		}
	}
}

// lastHeard returns when the keeper last sent a message about turns.
func (ts *turns) lastSeenAt() time.Time {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.lastSeen
}

// setSilent records that a request has waited without a message from the keeper since a
// time. It reports false if one has arrived meanwhile.
func (ts *turns) setSilent(since time.Time) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.lastSeen.After(since) {
		return false
	}
	ts.silent = true
	return true
}

// isSilent reports whether the keeper has been silent since a request waited in vain.
func (ts *turns) isSilent() bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.silent
}

// requestTurn requests a turn from the keeper. It returns nil if no keeper is connected or
// it does not understand turns.
func (l *link) requestTurn(m *peer.PrefillRequest) *turn {
	c, _ := l.current()
	if c == nil || !c.Understands(peer.FeaturePrefillTurns) {
		return nil
	}
	t := l.turns.add(c)
	m.ID = t.id
	if c.Send(m) != nil {
		l.turns.remove(t)
		return nil
	}
	return t
}

// waitForTurn waits until a turn is granted, the connection to the keeper or ctx has ended,
// the keeper is silent, or the latest time for the turn has passed.
func (l *link) waitForTurn(ctx context.Context, t *turn, latest time.Time) turnResult {
	defer l.turns.remove(t)
	if l.turns.isSilent() {
		return turnSilent
	}
	clock := l.links.g.clock
	silentAt := clock.Now().Add(maxTurnSilence)
	for {
		now := clock.Now()
		if !now.Before(latest) {
			return turnLeft
		}
		if !now.Before(silentAt) && l.turns.setSilent(now.Add(-maxTurnSilence)) {
			return turnSilent
		}
		left := min(silentAt.Sub(now), latest.Sub(now))
		elapsed := make(chan struct{})
		timer := clock.AfterFunc(left, func() {
			close(elapsed)
		})
		select {
		case <-t.ended:
			timer.Stop()
			if t.granted {
				return turnGranted
			}
			return turnLost
		case <-ctx.Done():
			timer.Stop()
			return turnLeft
		case <-elapsed:
		}
		if seen := l.turns.lastSeenAt().Add(maxTurnSilence); seen.After(silentAt) {
			silentAt = seen
		}
	}
}

// turnResult is how the wait for a turn ended.
type turnResult string

const (
	turnGranted turnResult = "granted"
	turnSilent  turnResult = "silent"  // the keeper sent nothing
	turnLost    turnResult = "lost"    // the connection to the keeper has ended
	turnLeft    turnResult = "left"    // the caller is gone, or its response would come too late
	turnSkipped turnResult = "skipped" // no keeper that understands turns is connected
)

// takeTurn waits for the request's turn at the engine that was chosen for it. Without a
// grant the request is sent anyway, unless its caller is gone. It reports false, and
// records the refusal, if the response would come after the deadline.
func (x *exchange) takeTurn(ctx context.Context, a assignment) bool {
	x.timing.turn = 0
	x.turnOutcome = ""
	if !a.Turn {
		return true
	}
	now := x.g.clock.Now()
	latest := x.latestTurn(now, a)
	outcome := turnSkipped
	if l := x.g.links.linkTo(a.Member.ID); l != nil {
		x.turn = l.requestTurn(x.turnRequest(now))
		if x.turn != nil {
			outcome = l.waitForTurn(ctx, x.turn, latest)
		}
	}
	x.timing.turn = x.g.clock.Now().Sub(now)
	x.turnOutcome = outcome
	x.g.metrics.turnEnded(outcome, x.timing.turn)
	if outcome == turnSilent {
		x.g.logger.Info("no turn granted, the keeper is silent", "id", x.attempt, "upstream", a.Member.ID, "waited", x.timing.turn)
	}
	if outcome == turnSkipped || outcome == turnLost {
		x.turn = nil
		x.registered = false
		x.g.unregisterTurn(a.Member.ID, x.prompt)
	} else if x.turn.granted {
		x.g.recordEngineRate(a.Member.ID, x.turn.rate, x.prompt)
	}
	if x.g.clock.Now().Before(latest) {
		return true
	}
	x.refusal = x.g.refusalOfTurn(a.Member.ID, x.prompt)
	return false
}

// latestTurn returns the latest start of the prefill after which the response still comes
// before the deadline. At an engine without other prompts it is the deadline itself if the
// prefill seems to take longer: the response corrects an estimate that is too high.
func (x *exchange) latestTurn(now time.Time, a assignment) time.Time {
	x.g.mu.Lock()
	prefill, _ := x.g.fleet.PrefillTimes(now, a.Member.ID, x.prompt)
	x.g.mu.Unlock()
	latest := x.deadline.Add(-prefill)
	if a.Prefill == 0 && !now.Before(latest) {
		return x.deadline
	}
	return latest
}

// refusalOfTurn returns the refusal of a prompt whose turn comes too late. The caller may
// retry when the known prompts at the engine have been prefilled.
func (g *Gateway) refusalOfTurn(id wardturn.UpstreamID, prompt wardturn.Tokens) *refusal {
	g.mu.Lock()
	own, all := g.fleet.PrefillTimes(g.clock.Now(), id, prompt)
	g.mu.Unlock()
	predicted := max(own, all)
	return &refusal{
		reason:     wardturn.ReasonDeadline,
		retryAfter: predicted,
		predicted:  predicted,
	}
}

func (x *exchange) turnRequest(now time.Time) *peer.PrefillRequest {
	u := x.urgency()
	x.g.mu.Lock()
	rate := x.g.fleet.ServicePrefillRate(x.service)
	x.g.mu.Unlock()
	return &peer.PrefillRequest{
		Tokens:   x.prompt,
		Rank:     u.Rank,
		Team:     u.Team,
		Waited:   now.Sub(u.Since),
		LateIn:   u.LateAt.Sub(now),
		TimeLeft: u.Deadline.Sub(now),
		MaxPause: x.route.MaxPause,
		Rate:     rate,
	}
}

// recordPrefill records how long the upstream's prefill took. It must be called before
// endPrefill.
func (x *exchange) recordPrefill(a assignment) {
	if x.prefilling != a.Member.ID || x.prompt == 0 {
		return
	}
	if x.turn != nil && x.turn.rate > 0 {
		return // measured by the keeper
	}
	x.g.recordPrefill(x.service, a.Prefill+int(x.prompt), x.queueTime()+x.g.clock.Now().Sub(x.send.sent))
}

// queueTime returns the wait for the turn if it was spent behind the prompts of others.
func (x *exchange) queueTime() time.Duration {
	if x.turnOutcome != turnGranted {
		return 0
	}
	return x.timing.turn
}

// endTurn tells the keeper that the prefill of the request's prompt has ended or that its
// turn is not needed any more.
func (x *exchange) endTurn() {
	if x.turn == nil {
		return
	}
	// If the connection has ended, the keeper has dropped the prompt.
	_ = x.turn.conn.Send(&peer.PrefillDone{
		IDs: []uint64{x.turn.id},
	})
	x.turn = nil
}

// unregisterTurn counts a prompt as one that takes no turn.
func (g *Gateway) unregisterTurn(id wardturn.UpstreamID, prompt wardturn.Tokens) {
	g.mu.Lock()
	g.fleet.TurnEnded(id, prompt)
	reports := g.fleet.PrefillReports()
	g.mu.Unlock()
	g.links.sendPrefillReports(reports)
}

// recordEngineRate records the prefill rate of an engine as measured by its keeper.
func (g *Gateway) recordEngineRate(id wardturn.UpstreamID, rate float64, prompt wardturn.Tokens) {
	if rate <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.EngineMeasured(g.clock.Now(), id, rate, prompt)
}

// mayUseTurn reports whether the request may still be sent after the wait for its turn.
func (x *exchange) mayUseTurn(ctx context.Context, a assignment) bool {
	return ctx.Err() == nil && x.g.accepts(a.Member)
}
