package decide

import (
	"time"

	"wardturn"
)

// sent records that a request is sent to an upstream.
func (f *Fleet) sent(now time.Time, m *Member, key wardturn.ModelAdapter, prompt wardturn.Tokens) {
	m.running++
	f.addPrefill(m, prompt)
	m.breaker.Tried(now)
	m.backoff.sent(now)
	f.limits.Sent(now, m.ID)
	if key.Adapter == "" {
		return
	}
	u := m.uses[key]
	if u == nil {
		u = &AdapterCount{
			Key: key,
		}
		m.uses[key] = u
	}
	u.Started++
	u.Running++
	u.changed = true
}

// ResponseStarted records that the response to a request started, so its prompt has been
// prefilled.
func (f *Fleet) ResponseStarted(id wardturn.UpstreamID, prompt wardturn.Tokens) {
	if m := f.members[id]; m != nil {
		f.addPrefill(m, -prompt)
	}
}

// Outcome classifies the end of a request by what it indicates about the health of the
// upstream.
type Outcome uint8

const (
	// OutcomeOK is a complete response, or a refusal that says the request was not run.
	OutcomeOK Outcome = iota
	// OutcomeError is a response that reports a failure of the upstream.
	OutcomeError
	// OutcomeBroken is a missing or incomplete response.
	OutcomeBroken
	// OutcomeUnknown is an end that says nothing about the upstream.
	OutcomeUnknown
)

// RequestEnded records the end of a request at an upstream. ResponseStarted must be called
// first, even if the request had no response.
func (f *Fleet) RequestEnded(now time.Time, id wardturn.UpstreamID, key wardturn.ModelAdapter, outcome Outcome) {
	m := f.members[id]
	if m == nil {
		return
	}
	if u := m.uses[key]; u != nil {
		u.Running--
		u.changed = true
	}
	m.running = max(0, m.running-1)
	m.runningAtUpdate = max(0, m.runningAtUpdate-1)
	if m.plain != nil {
		m.plain.ended(now)
		defer f.assignPlainWaiting(now, f.plain.service(m.Service))
	}
	switch outcome {
	case OutcomeUnknown:
		return
	case OutcomeBroken:
		m.breaker.Fail(now)
	default:
		m.breaker.Succeed()
	}
	failed := 0.0
	if outcome != OutcomeOK {
		failed = 1
	}
	m.failureShare += failureWeight * (failed - m.failureShare)
}

// bodyFits reports whether the body of a request fits within this gateway's share of
// MaxBodyBytes at an upstream. A body that would be the only one there always fits.
func (f *Fleet) bodyFits(m *Member, r *PendingRequest) bool {
	return f.cfg.MaxBodyBytes == 0 || m.bodyBytes == 0 || m.bodyBytes+r.Body <= f.cfg.MaxBodyBytes/f.Gateways()
}

// ReleaseBody records that an upstream no longer holds a request body of the given size.
func (f *Fleet) ReleaseBody(id wardturn.UpstreamID, body int) {
	if m := f.members[id]; m != nil {
		m.bodyBytes = max(0, m.bodyBytes-body)
	}
}

// AdapterCount counts this gateway's requests for one adapter at one engine.
type AdapterCount struct {
	Key     wardturn.ModelAdapter
	Started int // requests started since the last report
	Running int
	changed bool
}

// runningOf returns the number of requests for an adapter that this gateway has in progress
// at a member.
func (m *Member) runningOf(key wardturn.ModelAdapter) int {
	if u := m.uses[key]; u != nil {
		return u.Running
	}
	return 0
}

// Usage returns the counts of a member's adapters that changed since the last call.
func (f *Fleet) Usage(id wardturn.UpstreamID) []AdapterCount {
	m := f.members[id]
	if m == nil {
		return nil
	}
	var list []AdapterCount
	for key, u := range m.uses {
		if !u.changed {
			continue
		}
		list = append(list, *u)
		u.Started = 0
		u.changed = false
		if u.Running == 0 {
			delete(m.uses, key)
		}
	}
	return list
}
