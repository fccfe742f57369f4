package decide

import (
	"time"

	"wardturn"
)

// sent records that a request goes to an upstream.
func (f *Fleet) sent(now time.Time, m *Member, key wardturn.ModelAdapter, prompt wardturn.Tokens) {
	m.running++
	f.reads(m, prompt)
	m.breaker.Tried(now)
	m.rest.sent(now)
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

// Began records that the answer to a request began: its prompt has been read.
func (f *Fleet) Began(id wardturn.UpstreamID, prompt wardturn.Tokens) {
	if m := f.members[id]; m != nil {
		f.reads(m, -prompt)
	}
}

// Ending is how a request at an upstream ended, as far as that tells of the
// upstream.
type Ending uint8

const (
	// EndedWell had its whole answer, or was refused as not run.
	EndedWell Ending = iota
	// EndedInError had an answer that says the upstream failed.
	EndedInError
	// EndedBroken had no answer, or a part of one.
	EndedBroken
	// EndedUnseen ended for a reason that tells nothing of the upstream.
	EndedUnseen
)

// Ended records the end of a request at an upstream. Call Began before, also for
// a request that had no answer.
func (f *Fleet) Ended(now time.Time, id wardturn.UpstreamID, key wardturn.ModelAdapter, how Ending) {
	m := f.members[id]
	if m == nil {
		return
	}
	if u := m.uses[key]; u != nil {
		u.Running--
		u.changed = true
	}
	m.running = max(0, m.running-1)
	m.atHold = max(0, m.atHold-1)
	switch how {
	case EndedUnseen:
		return
	case EndedBroken:
		m.breaker.Fail(now)
	default:
		m.breaker.Succeed()
	}
	bad := 0.0
	if how != EndedWell {
		bad = 1
	}
	m.failing += failWeight * (bad - m.failing)
}

// holds reports whether an upstream may be given the body of a request beside those that
// this gateway has there: its part of what all may give. One alone is always given.
func (f *Fleet) holds(m *Member, t *Ticket) bool {
	return f.cfg.MostBodies == 0 || m.bodies == 0 || m.bodies+t.Body <= f.cfg.MostBodies/f.Gateways()
}

// Freed records that an upstream no longer holds the body of a request.
func (f *Fleet) Freed(id wardturn.UpstreamID, body int) {
	if m := f.members[id]; m != nil {
		m.bodies = max(0, m.bodies-body)
	}
}

// AdapterCount counts this gateway's requests to an adapter of one engine.
type AdapterCount struct {
	Key     wardturn.ModelAdapter
	Started int // since it was last reported
	Running int
	changed bool
}

// runningOf returns how many requests for an adapter this gateway has under way at a member.
func (m *Member) runningOf(key wardturn.ModelAdapter) int {
	if u := m.uses[key]; u != nil {
		return u.Running
	}
	return 0
}

// Usage returns what changed in the use of a member's adapters since the last
// call.
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
