package decide

import (
	"math/rand/v2"
	"time"
)

// askSettle is how long an ask counts as a load under way before its keeper tells of it: far
// over an order and its report. An engine without a free place starts the load later, and
// until then it takes nothing of the store.
const askSettle = 100 * time.Millisecond

// drawEvery is the least time between two draws: about what it takes until other
// gateways see the load that came of one.
const drawEvery = 10 * time.Millisecond

// room returns how many loads from the weight store this gateway may ask for now:
// its share of what the window leaves. Gateways do not see each other's asks at
// once, so less than one for each of them is taken by chance, in proportion.
func (f *Fleet) room(now time.Time) int {
	share := f.share(now)
	if share >= 1 {
		return int(share)
	}
	if now.Sub(f.drawnAt) < drawEvery {
		return 0
	}
	f.drawnAt = now
	if f.cfg.Draw() < share {
		return 1
	}
	return 0
}

// spare reports whether the store has room for a load that nobody waits for: this gateway's
// share is a whole load, or, by chance, while half of the window is free. Among more gateways
// than the window has loads none has a whole one, and no adapter would get a second engine.
func (f *Fleet) spare(now time.Time) bool {
	return f.share(now) >= 1 || 2*f.coming < f.window.Size() && f.room(now) > 0
}

func (f *Fleet) share(now time.Time) float64 {
	left := float64(f.window.Size() - f.coming)
	return left/float64(f.Gateways()) - float64(f.unseen(now))
}

// unseen counts the loads that were just asked for and that no keeper tells of
// yet.
func (f *Fleet) unseen(now time.Time) int {
	n := 0
	for _, w := range f.wants {
		if w.askedAt.IsZero() || w.warm || now.Sub(w.askedAt) > askSettle {
			continue
		}
		if m := f.members[w.home]; m == nil || !m.held[w.key].loading {
			n++
		}
	}
	return n
}

// count brings the number of loads from the store at a member up to date.
func (f *Fleet) count(m *Member) {
	n := 0
	for _, h := range m.held {
		if h.loading && !h.warm {
			n++
		}
	}
	f.coming += n - m.coming
	m.coming = n
}

// Draw returns a number in [0, 1) by chance.
func Draw() float64 {
	return rand.Float64()
}
