package decide

import (
	"time"
)

// prefillDelay estimates how long an engine takes to prefill the prompts that precede a
// new one.
func prefillDelay(now time.Time, m *Member) time.Duration {
	return m.rate.time(m.toRead(now))
}

// meetsObjective reports whether a request would have its first token within its
// objective at an engine where its prefill can start after a delay.
func meetsObjective(now time.Time, t *Ticket, m *Member, delay time.Duration) bool {
	start := max(delay, prefillDelay(now, m))
	return !now.Add(start + m.rate.time(int(t.Prompt))).After(t.Arrived.Add(t.Objective))
}

// waitsForQuicker reports whether a request with a long prompt should wait for its
// adapter to be loaded at another engine than m, the best of those that hold it, because
// m would miss its objective and the other engine would meet it. An adapter thus gets as
// many copies as its prompts need, and none merely for being popular.
func (f *Fleet) waitsForQuicker(now time.Time, t *Ticket, m *Member) bool {
	if t.settled || t.Key.Adapter == "" || t.Prompt < longPrompt {
		return false
	}
	if meetsObjective(now, t, m, 0) {
		return false
	}
	w := f.wantOf(now, t.Key, t.Service, t.Regions)
	home := f.members[w.home]
	if w.askedAt.IsZero() {
		// Any space in the window is enough for a copy. Where many gateways each wait for
		// a share of the window of their own, copies come too late.
		if f.coming >= f.window.Size() {
			return false
		}
		home = f.home(now, w)
	}
	return home != nil && meetsObjective(now, t, home, f.bringTime(now, w, home))
}

// bringTime estimates how long it takes until a wanted adapter is available at an engine.
func (f *Fleet) bringTime(now time.Time, w *want, m *Member) time.Duration {
	d := f.window.Typical()
	if m.everHeld[w.key] {
		d = warmLoad
	}
	if h := m.held[w.key]; h.loading && !h.since.IsZero() {
		return max(0, d-now.Sub(h.since))
	}
	if !m.placeFree(w.key) {
		d += noPlaceTime
	}
	if w.home == m.ID && !w.askedAt.IsZero() {
		return max(0, d-now.Sub(w.askedAt))
	}
	return d
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
