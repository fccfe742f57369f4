package decide

import (
	"time"
)

// prefillDelay estimates how long an engine takes to prefill the prompts that precede a
// new one.
func prefillDelay(now time.Time, m *Member) time.Duration {
	return m.prefillRate.time(m.pendingPrefill(now))
}

// meetsObjective reports whether a request would have its first token within its
// objective at an engine where its prefill can start after a delay.
func meetsObjective(now time.Time, t *PendingRequest, m *Member, delay time.Duration) bool {
	start := max(delay, prefillDelay(now, m))
	return !now.Add(start + m.prefillRate.time(int(t.Prompt))).After(t.Arrived.Add(t.Objective))
}

// waitsForLoad reports whether a request with a long prompt should wait for its
// adapter to be loaded at another engine than m, the best of those that hold it, because
// m would miss its objective and the other engine would meet it. An adapter thus gets as
// many copies as its prompts need, and none merely for being popular.
func (f *Fleet) waitsForLoad(now time.Time, t *PendingRequest, m *Member) bool {
	if t.acceptsSlow || t.Key.Adapter == "" || t.Prompt < longPrompt {
		return false
	}
	if meetsObjective(now, t, m, 0) {
		return false
	}
	w := f.missingFor(now, t.Key, t.Service, t.Regions)
	home := f.members[w.home]
	if w.firstRequestedAt.IsZero() {
		// Any space in the window is enough for a copy. Where many gateways each wait for
		// a share of the window of their own, copies come too late.
		if f.loadsInFlight >= f.window.Size() {
			return false
		}
		home = f.home(now, w)
	}
	return home != nil && meetsObjective(now, t, home, f.timeToAvailable(now, w, home))
}

// timeToAvailable estimates how long it takes until a wanted adapter is available at an engine.
func (f *Fleet) timeToAvailable(now time.Time, w *missingAdapter, m *Member) time.Duration {
	d := f.window.MedianLoadTime()
	if m.everHeld[w.key] {
		d = warmLoadTime
	}
	if h := m.held[w.key]; h.loading && !h.since.IsZero() {
		return max(0, d-now.Sub(h.since))
	}
	if !m.slotFree(w.key) {
		d += noSlotWait
	}
	if w.home == m.ID && !w.firstRequestedAt.IsZero() {
		return max(0, d-now.Sub(w.firstRequestedAt))
	}
	return d
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
