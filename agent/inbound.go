package agent

import (
	"time"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/peer"
)

// catchUpTimeout is how long a request waits until the agent has applied the
// configuration with which its entry made its decisions.
const catchUpTimeout = time.Second

// peerHandler handles the connections of an Agent.
type peerHandler Agent

// AcceptFailed implements peer.AcceptErrorHandler.
func (in *peerHandler) AcceptFailed(err error) {
	in.logger.Error("accepting connections failed", "error", err)
}

// Handle implements peer.Handler.
func (in *peerHandler) Handle(c *peer.Conn, m peer.Message) {
	a := (*Agent)(in)
	switch m := m.(type) {
	case *peer.Submit:
		a.onSubmit(c, m)
	case *peer.PermitRequest:
		a.allocator.onPermitRequest(c, m.Request)
	case *peer.ConfigPull:
		a.onConfigPull(c, m)
	case *peer.Ping:
		a.mu.Lock()
		h := a.hint()
		a.mu.Unlock()
		_ = c.Send(h)
	default:
		a.mu.Lock()
		defer a.mu.Unlock()
		a.handleLocked(c, m)
	}
}

func (a *Agent) handleLocked(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case *peer.Attach:
		a.onAttach(c, m)
	case *peer.Credit:
		a.onCredit(c, m)
	case *peer.Cancel:
		a.onCancel(m.Attempt)
	}
}

// Closed implements peer.Handler. The attempts of the connection continue for
// Config.OrphanGrace, so that the entry can reconnect.
func (in *peerHandler) Closed(c *peer.Conn, _ error) {
	a := (*Agent)(in)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.attempts {
		if t.conn != c {
			continue
		}
		t.conn = nil
		if !t.ended {
			a.startOrphanTimer(t)
		}
	}
}

// startOrphanTimer starts the timer that cancels an attempt unless an entry attaches to
// it within Config.OrphanGrace. a.mu is held.
func (a *Agent) startOrphanTimer(t *attempt) {
	t.orphanTimer = a.clock.AfterFunc(a.cfg.OrphanGrace, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if t.conn == nil && !t.ended {
			a.onCancel(t.id)
		}
	})
}

// onSubmit admits an attempt after the agent has caught up with the configuration of
// the entry. The time for that counts against the attempt's deadline.
func (a *Agent) onSubmit(c *peer.Conn, m *peer.Submit) {
	arrived := a.clock.Now()
	if a.replica.AppliedOffset() >= m.Config {
		a.admit(c, m, arrived, true)
		return
	}
	a.tasks.Go(func() {
		ctx, cancel := a.tasks.WithTimeout(catchUpTimeout)
		defer cancel()
		a.admit(c, m, arrived, a.replica.WaitFor(ctx, m.Config) == nil)
	})
}

// admit queues a new attempt. It refuses the attempt if the agent is not up to date with
// the entry's configuration, or if the adapter version has been replaced. A duplicate of
// an attempt in a.attempts is ignored; for an attempt that only the ledger remembers,
// the entry gets the outcome.
func (a *Agent) admit(c *peer.Conn, m *peer.Submit, arrived time.Time, upToDate bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, outcome := a.ledger.Submit(a.clock.Now(), m.Attempt)
	switch {
	case state == decide.AttemptNew:
	case a.attempts[m.Attempt] != nil:
		return // a duplicate: the response already goes to the attempt's connection
	default:
		a.replyEnd(c, m.Attempt, outcome)
		return
	}
	t := &attempt{
		id:      m.Attempt,
		req:     newRequest(arrived, m),
		arrived: arrived,

		supersedes:  m.Supersedes,
		wantsNewest: m.Newest,
		config:      m.Config,
	}
	t.attach(c, 0, m.Credit)
	a.attempts[m.Attempt] = t
	if !upToDate {
		t.req.Body = nil // not counted yet
		a.finish(t, wardturn.Refused(wardturn.ReasonStaleConfig, time.Second))
		return
	}
	if !a.bodies.Grow(0, int64(len(m.Body))) {
		t.req.Body = nil
		a.finish(t, wardturn.Refused(wardturn.ReasonQueueFull, time.Second))
		return
	}
	if a.versionReplaced(t) {
		a.finish(t, wardturn.Refused(wardturn.ReasonStaleConfig, 0))
		return
	}
	a.applyLocked(func(now time.Time, out *decide.Orders) {
		a.core.Admit(now, newWork(t), out)
	})
}

func (a *Agent) replyEnd(c *peer.Conn, id wardturn.AttemptID, outcome wardturn.Outcome) {
	_ = c.Send(&peer.End{
		Attempt: id,
		Outcome: outcome,
		Hint:    a.core.Hint(),
	})
}

func newRequest(arrived time.Time, m *peer.Submit) wardturn.Request {
	r := wardturn.Request{
		ID:         m.Request,
		Caller:     m.Caller,
		Team:       m.Team,
		Class:      m.Class,
		Adapter:    m.Adapter,
		Service:    m.Service,
		Prompt:     m.Prompt,
		Output:     m.Output,
		Repeatable: m.Repeatable,
		Key:        m.Key,
		KeyCreated: m.KeyCreated,
		Digest:     m.Digest,
		Method:     m.Method,
		Path:       m.Path,
		Header:     m.Header,
		Body:       m.Body,
	}
	if m.TimeLeft > 0 {
		r.Deadline = arrived.Add(m.TimeLeft)
	}
	return r
}

func newWork(t *attempt) decide.Work {
	return decide.Work{
		Attempt:  t.id,
		Adapter:  t.req.Adapter,
		Class:    t.req.Class,
		Team:     t.req.Team,
		Prompt:   t.req.Prompt,
		Output:   t.req.Output,
		Deadline: t.req.Deadline,
	}
}

// onAttach handles an entry that asks for an attempt after its connection was lost. a.mu
// is held.
func (a *Agent) onAttach(c *peer.Conn, m *peer.Attach) {
	if m.Process != a.cfg.Process {
		a.replyEnd(c, m.Attempt, wardturn.Uncertain(wardturn.ReasonAgentRestarted))
		return
	}
	_, outcome := a.ledger.Lookup(a.clock.Now(), m.Attempt)
	t := a.attempts[m.Attempt]
	switch {
	case t != nil && m.Follow:
		a.onFollow(c, t, m)
	case t != nil && m.From >= t.base:
		t.attach(c, m.From, m.Credit)
		a.flush(t)
	case outcome.Kind == wardturn.NotRun:
		a.replyEnd(c, m.Attempt, outcome)
	default:
		// It may have run, and its response is no longer available.
		a.replyEnd(c, m.Attempt, wardturn.Uncertain(wardturn.ReasonUpstreamLost))
	}
}

// onFollow handles a request whose idempotency key was claimed by an earlier attempt.
// Once that attempt has ended, the request gets a copy of its response. The copy has
// its own connection and offsets, so that the request that started the attempt still
// gets the response too.
func (a *Agent) onFollow(c *peer.Conn, t *attempt, m *peer.Attach) {
	switch {
	case !t.ended:
		a.replyEnd(c, m.Attempt, wardturn.Refused(wardturn.ReasonKeyInProgress, time.Second))
	case t.outcome.Kind != wardturn.Done || t.base > 0:
		outcome := t.outcome
		if outcome.Kind == wardturn.Done {
			// The response is no longer available in full.
			outcome = wardturn.Uncertain(wardturn.ReasonUpstreamLost)
		}
		a.replyEnd(c, m.Attempt, outcome)
	default:
		f := &attempt{
			id:      t.id,
			req:     t.req,
			head:    t.head,
			buf:     t.buf,
			ended:   true,
			outcome: t.outcome,
		}
		f.attach(c, m.From, m.Credit)
		t.copies = append(t.copies, f)
		a.flush(f)
	}
}

// onCancel cancels an attempt that nobody waits for any more. A non-repeatable request
// that has been sent to the upstream runs to completion; one whose claim is still in
// progress has not been sent. a.mu is held.
func (a *Agent) onCancel(id wardturn.AttemptID) {
	t := a.attempts[id]
	if t == nil || t.ended {
		return
	}
	t.canceled = true
	queued := false
	a.applyLocked(func(now time.Time, out *decide.Orders) {
		queued = a.core.Cancel(now, id, out)
	})
	switch {
	case queued:
		a.finish(t, wardturn.Refused(wardturn.ReasonCanceled, 0))
	case t.cancel != nil && t.req.Repeatable:
		t.cancel()
	}
}

// finish records an attempt's outcome and sends it to the entry. a.mu is held.
func (a *Agent) finish(t *attempt, outcome wardturn.Outcome) {
	now := a.clock.Now()
	if !a.ledger.End(now, t.id, outcome) {
		return
	}
	t.ended = true
	t.outcome = outcome
	t.endedAt = now
	if t.orphanTimer != nil {
		t.orphanTimer.Stop()
		t.orphanTimer = nil
	}
	a.bodies.Release(int64(len(t.req.Body)))
	t.req.Body = nil
	a.flush(t)
	a.retain(t)
	a.metrics.attemptEnded(t.req.Class, outcome, t.adapterWait)
	a.logger.Debug("attempt ended",
		"request", t.req.ID,
		"attempt", t.id,
		"caller", t.req.Caller,
		"adapter", t.req.Adapter,
		"outcome", outcome.Kind,
		"reason", outcome.Reason,
		"bytes", t.end(),
	)
}

func (a *Agent) onConfigPull(c *peer.Conn, m *peer.ConfigPull) {
	page, pages, applied := a.replica.ConfigPage(m.Page)
	data, err := control.EncodeConfigPage(page)
	if err != nil {
		a.logger.Error("encoding configuration page failed", "error", err)
		return
	}
	_ = c.Send(&peer.ConfigPage{
		Page:   m.Page,
		Pages:  pages,
		Config: applied,
		Data:   data,
	})
}
