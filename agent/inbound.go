package agent

import (
	"time"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/peer"
)

// catchUpLimit is how long a request waits for the configuration that its entry
// decided by.
const catchUpLimit = time.Second

// inbound is the agent as the handler of its connections.
type inbound Agent

// Handle implements peer.Handler.
func (in *inbound) Handle(c *peer.Conn, m peer.Message) {
	a := (*Agent)(in)
	switch m := m.(type) {
	case *peer.Submit:
		a.onSubmit(c, m)
	case *peer.PermitRequest:
		a.alloc.onWish(c, m.Request)
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
		a.handle(c, m)
	}
}

func (a *Agent) handle(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case *peer.Attach:
		a.onAttach(c, m)
	case *peer.Credit:
		a.onCredit(c, m)
	case *peer.Cancel:
		a.onCancel(m.Attempt)
	}
}

// Closed implements peer.Handler. The attempts of the connection go on for a
// while, for the entry to come back.
func (in *inbound) Closed(c *peer.Conn, _ error) {
	a := (*Agent)(in)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.attempts {
		if t.conn != c {
			continue
		}
		t.conn = nil
		if !t.ended {
			a.expectBack(t)
		}
	}
}

// expectBack cancels an attempt that no entry asks for again.
func (a *Agent) expectBack(t *attempt) {
	t.orphan = a.clock.AfterFunc(a.cfg.OrphanGrace, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if t.conn == nil && !t.ended {
			a.onCancel(t.id)
		}
	})
}

// onSubmit admits an attempt, after catching up with the entry's configuration. The
// time for that is part of the attempt's.
func (a *Agent) onSubmit(c *peer.Conn, m *peer.Submit) {
	came := a.clock.Now()
	if a.replica.Applied() >= m.Config {
		a.admit(c, m, came, true)
		return
	}
	a.tasks.Go(func() {
		ctx, cancel := a.tasks.Limit(catchUpLimit)
		defer cancel()
		a.admit(c, m, came, a.replica.WaitFor(ctx, m.Config) == nil)
	})
}

// admit takes an attempt that came at a time.
func (a *Agent) admit(c *peer.Conn, m *peer.Submit, came time.Time, upToDate bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, outcome := a.ledger.Submit(a.clock.Now(), m.Attempt)
	switch {
	case state == decide.AttemptNew:
	case a.attempts[m.Attempt] != nil:
		return // a copy: the attempt has its answer's connection already
	default:
		a.replyEnd(c, m.Attempt, outcome)
		return
	}
	t := &attempt{
		id:      m.Attempt,
		req:     request(came, m),
		arrived: came,

		supersedes: m.Supersedes,
		newest:     m.Newest,
		config:     m.Config,
	}
	t.attach(c, 0, m.Credit)
	a.attempts[m.Attempt] = t
	if !upToDate {
		a.finish(t, wardturn.Refused(wardturn.ReasonStaleConfig, time.Second))
		return
	}
	if a.outOfForce(t) {
		a.finish(t, wardturn.Refused(wardturn.ReasonStaleConfig, 0))
		return
	}
	a.do(func(now time.Time, out *decide.Orders) {
		a.core.Admit(now, work(t), out)
	})
}

func (a *Agent) replyEnd(c *peer.Conn, id wardturn.AttemptID, outcome wardturn.Outcome) {
	_ = c.Send(&peer.End{
		Attempt: id,
		Outcome: outcome,
		Hint:    a.core.Hint(),
	})
}

func request(came time.Time, m *peer.Submit) wardturn.Request {
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
		r.Deadline = came.Add(m.TimeLeft)
	}
	return r
}

func work(t *attempt) decide.Work {
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

// onAttach answers an entry that lost its connection.
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
		// It ran or may have, and the answer is not here any more.
		a.replyEnd(c, m.Attempt, wardturn.Uncertain(wardturn.ReasonUpstreamLost))
	}
}

// onFollow answers a request whose idempotency key an earlier attempt claimed.
// It gets that attempt's answer once there is one, from a copy: the request that
// started it must not lose its own.
func (a *Agent) onFollow(c *peer.Conn, t *attempt, m *peer.Attach) {
	switch {
	case !t.ended:
		a.replyEnd(c, m.Attempt, wardturn.Refused(wardturn.ReasonKeyInProgress, time.Second))
	case t.outcome.Kind != wardturn.Done || t.base > 0:
		outcome := t.outcome
		if outcome.Kind == wardturn.Done {
			outcome = wardturn.Uncertain(wardturn.ReasonUpstreamLost) // not kept in full
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
		t.follow = append(t.follow, f)
		a.flush(f)
	}
}

// onCancel withdraws an attempt that nobody waits for. What may not be repeated
// and has been sent runs on to its end; while its claim is under way it has not.
func (a *Agent) onCancel(id wardturn.AttemptID) {
	t := a.attempts[id]
	if t == nil || t.ended {
		return
	}
	t.withdrawn = true
	queued := false
	a.do(func(now time.Time, out *decide.Orders) {
		queued = a.core.Cancel(now, id, out)
	})
	switch {
	case queued:
		a.finish(t, wardturn.Refused(wardturn.ReasonCanceled, 0))
	case t.cancel != nil && t.req.Repeatable:
		t.cancel()
	}
}

// finish records an attempt's outcome and tells the entry.
func (a *Agent) finish(t *attempt, outcome wardturn.Outcome) {
	now := a.clock.Now()
	if !a.ledger.End(now, t.id, outcome) {
		return
	}
	t.ended = true
	t.outcome = outcome
	t.endedAt = now
	if t.orphan != nil {
		t.orphan.Stop()
		t.orphan = nil
	}
	a.flush(t)
	a.keep(t)
	a.metrics.ended(t.req.Class, outcome, t.stalled)
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
	page, pages, applied := a.replica.Page(m.Page)
	data, err := control.EncodePage(page)
	if err != nil {
		a.logger.Error("configuration page", "error", err)
		return
	}
	_ = c.Send(&peer.ConfigPage{
		Page:   m.Page,
		Pages:  pages,
		Config: applied,
		Data:   data,
	})
}
