package decide

import (
	"cmp"
	"slices"
	"time"
)

// WindowConfig holds the limits of a LoadWindow.
type WindowConfig struct {
	Start float64 // loads at once, at the start
	Least float64
	Most  float64
	// Target is the typical time of a load beyond which the weight store counts
	// as overloaded: later loads come too late for those who wait.
	Target time.Duration
}

// The defaults of WindowConfig.
const (
	DefaultWindowStart = 24
	DefaultWindowLeast = 4
	DefaultWindowMost  = 48
	// DefaultWindowTarget is twice the time of a load without contention.
	DefaultWindowTarget = 600 * time.Millisecond
)

func (c WindowConfig) withDefaults() WindowConfig {
	c.Start = cmp.Or(c.Start, DefaultWindowStart)
	c.Least = cmp.Or(c.Least, DefaultWindowLeast)
	c.Most = cmp.Or(c.Most, DefaultWindowMost)
	c.Target = cmp.Or(c.Target, DefaultWindowTarget)
	return c
}

const (
	windowShrink  = 0.8                    // factor after a slow load
	loadGuess     = 300 * time.Millisecond // before any load was seen
	windowSamples = 15                     // loads whose median is the typical time: single slow ones tell of their engine
)

// LoadWindow bounds the loads that one gateway has under way. All gateways share
// the weight store and none sees the others' loads; each widens its window while
// loads are quick and narrows it when they slow down, as congestion control
// does. It adds one load per window and takes a fifth off. Single loads may be
// slow for reasons of their engine, so the typical time decides.
type LoadWindow struct {
	cfg      WindowConfig
	size     float64
	recent   []time.Duration
	typical  time.Duration // the median of the recent ones
	shrunkAt time.Time
}

// NewLoadWindow returns a window of the start size.
func NewLoadWindow(cfg WindowConfig) LoadWindow {
	cfg = cfg.withDefaults()
	return LoadWindow{
		cfg:     cfg,
		size:    cfg.Start,
		typical: loadGuess,
	}
}

// Retune changes the limits; the present size stays within them.
func (w *LoadWindow) Retune(cfg WindowConfig) {
	w.cfg = cfg.withDefaults()
	w.size = min(max(w.size, w.cfg.Least), w.cfg.Most)
}

// Size returns the loads that may be under way.
func (w *LoadWindow) Size() int {
	return int(w.size)
}

// Typical returns the usual time of a load, from the ask to the use.
func (w *LoadWindow) Typical() time.Duration {
	return w.typical
}

// Loaded takes the time of a load.
func (w *LoadWindow) Loaded(now time.Time, d time.Duration) {
	w.recent = append(w.recent, d)
	if len(w.recent) > windowSamples {
		w.recent = w.recent[1:]
	}
	sorted := slices.Sorted(slices.Values(w.recent))
	w.typical = sorted[len(sorted)/2]
	if w.typical <= w.cfg.Target {
		w.size = min(w.cfg.Most, w.size+1/w.size)
		return
	}
	w.shrink(now)
}

// shrink narrows the window, once for the loads that were under way together.
func (w *LoadWindow) shrink(now time.Time) {
	if now.Sub(w.shrunkAt) < w.typical {
		return
	}
	w.shrunkAt = now
	w.size = max(w.cfg.Least, w.size*windowShrink)
}
