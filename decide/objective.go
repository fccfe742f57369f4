package decide

import (
	"time"
)

// prefillDelay estimates how long an engine takes to prefill the prompts that precede a
// new one.
func prefillDelay(now time.Time, m *Member) time.Duration {
	return m.prefillTime(now, m.pendingPrefill(now))
}

// meetsObjective reports whether a request would have its first token within its
// objective at an engine where its prefill can start after a delay.
func meetsObjective(now time.Time, r *PendingRequest, m *Member, delay time.Duration) bool {
	start := max(delay, prefillDelay(now, m))
	return !now.Add(start + m.prefillTime(now, int(r.Prompt))).After(r.Arrived.Add(r.Objective))
}

// waitsForLoad reports whether a request should wait for its adapter to be loaded at
// another engine than m, the best of those that hold it, because m would miss its objective
// and the other engine would meet it. An adapter thus gets as many copies as its prompts
// need, one after the other, and none merely for being popular. A load costs less than a
// late response of most routes, so each copy has to save at least one. Where ranks don't
// differ, only long prompts wait.
func (f *Fleet) waitsForLoad(now time.Time, r *PendingRequest, m *Member) bool {
	if r.acceptsSlow || r.Key.Adapter == "" || r.Prompt < longPrompt && !f.ranked {
		return false
	}
	if meetsObjective(now, r, m, 0) {
		return false
	}
	missing := f.missingFor(now, r.Key, r.Service, r.restriction())
	home := f.members[missing.home]
	queued := time.Duration(0)
	if missing.firstRequestedAt.IsZero() {
		// Any space in the window is enough for a copy. Where many gateways each wait for
		// a share of the window of their own, copies come too late.
		if f.loadsInFlight >= f.window.Size() {
			return false
		}
		home = f.home(now, missing)
		queued = f.loadQueueDelay(missing)
	}
	return home != nil && meetsObjective(now, r, home, queued+f.timeToAvailable(now, missing, home))
}

// loadQueueDelay estimates how long a load for a request in time waits for this gateway's
// share of the load window, behind the other adapters that can be loaded in time. It is
// zero where ranks don't differ.
func (f *Fleet) loadQueueDelay(missing *missingAdapter) time.Duration {
	ahead := f.queue.inTimeBefore
	if missing.countedInTime {
		ahead--
	}
	if ahead <= 0 {
		return 0
	}
	rounds := float64(ahead*f.Gateways()) / float64(max(f.window.Size(), 1))
	return time.Duration(rounds * float64(f.window.MedianLoadTime()))
}

// timeToAvailable estimates how long it takes until a missing adapter is available at an
// engine.
func (f *Fleet) timeToAvailable(now time.Time, missing *missingAdapter, m *Member) time.Duration {
	d := f.window.MedianLoadTime()
	if m.everHeld[missing.key] {
		d = warmLoadTime
	}
	if h := m.held[missing.key]; h.loading && !h.since.IsZero() {
		return max(0, d-now.Sub(h.since))
	}
	if !m.slotFree(missing.key) {
		d += noSlotWait
	}
	if missing.home == m.ID && !missing.firstRequestedAt.IsZero() {
		return max(0, d-now.Sub(missing.firstRequestedAt))
	}
	return d
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
