package decide

import (
	"cmp"
	"slices"
	"time"
)

// WindowConfig holds the limits of a LoadWindow.
type WindowConfig struct {
	Start float64 // initial number of concurrent loads
	Min   float64
	Max   float64
}

// The defaults of WindowConfig.
const (
	// DefaultWindowStart is what the smallest known weight store serves at full speed.
	// With many engines the window starts at windowStartRatio of their number instead.
	DefaultWindowStart = 8
	DefaultWindowMin   = 4
	// DefaultWindowMax is over ten times the parallel loads of the largest known store.
	DefaultWindowMax = 1024
)

func (c WindowConfig) withDefaults() WindowConfig {
	c.Start = cmp.Or(c.Start, DefaultWindowStart)
	c.Min = cmp.Or(c.Min, DefaultWindowMin)
	c.Max = cmp.Or(c.Max, DefaultWindowMax)
	return c
}

const (
	// windowShrink is the factor applied to the window after slow loads.
	windowShrink = 0.85
	// windowMinUse is the fraction of the window that must be in use for it to grow.
	windowMinUse = 0.7
	// windowSamples is the number of loads in the median. Single slow loads are due to
	// their engine, not the store.
	windowSamples = 15
	// slowLoadRatio is the ratio of the median to the baseline above which loads count as
	// slow.
	slowLoadRatio = 1.3
	// baselineMemory is the time constant with which the baseline follows longer load
	// times.
	baselineMemory = 5 * time.Minute
	// windowProbe is the growth per load before the first slow one: by half in each load
	// time.
	windowProbe = 0.5
	// windowStartRatio is the initial window as a fraction of the number of engines. Stores
	// are sized for their engines: the known ones serve 0.3 to 2.2 concurrent loads per
	// engine at full speed. From a small window it takes over a second to grow to what a
	// store for many engines serves, and the requests of that time are late.
	windowStartRatio = 0.5
	// initialBaseline is the baseline at the start, the duration of a load from a store
	// that is not overloaded: 250 ms by the platform's description, and 20 ms for the
	// order and the report. It holds until shorter loads are observed. Without it, a
	// window that starts above the store's capacity would take the slow loads for normal.
	initialBaseline = 270 * time.Millisecond
	// If loads still take at least ineffectiveTime of their earlier duration when the
	// window has shrunk to ineffectiveSize of its earlier size, the window is not what
	// slows them down, and their duration becomes the baseline.
	ineffectiveSize = 0.6
	ineffectiveTime = 0.9
	// ineffectiveLoads is the number of slow loads that must have been observed by then,
	// so that the median contains none from before.
	ineffectiveLoads = 2 * windowSamples
	// memoryLoadRatio is the fraction of the baseline below which a load is assumed not
	// to come from the store. An engine restores an adapter that it held before in a
	// tenth of the baseline, and a gateway that has just started does not know which
	// adapters those are. If they counted as loads from the store, all others would look
	// slow and the window would shrink to its minimum.
	memoryLoadRatio = 0.35
	// fastLoadsInRow is the number of consecutive such loads after which the store is
	// assumed to have become faster. Where this mattered, one load in three was from
	// memory.
	fastLoadsInRow = 30
	// initialLoadTime is the median load time assumed before any load was observed.
	initialLoadTime = 300 * time.Millisecond
)

// LoadWindow bounds the number of concurrent loads from the weight store for all gateways
// together. It works like a delay-based congestion window: it grows while loads take their
// normal time, the baseline, and shrinks when they slow down. Every gateway observes all
// loads through the keepers' reports, so all gateways arrive at about the same window.
// Loads beyond the store's capacity only make each load slower, until the requests that
// wait for them have given up.
type LoadWindow struct {
	cfg        WindowConfig
	size       float64
	recent     []time.Duration
	median     time.Duration // of recent
	baseline   time.Duration // normal load time: the least median, rising slowly with longer ones
	learned    bool          // a load was observed
	restored   float64       // size learned by earlier processes; zero if unknown
	slowPhase  slowPhase
	fastLoads  int  // consecutive loads that seem to come from memory
	probing    bool // no slow load yet
	shrunkAt   time.Time
	baselineAt time.Time // latest update of the baseline
}

// slowPhase is the state of a window at the time when loads became slow.
type slowPhase struct {
	size   float64 // zero: loads are not slow
	median time.Duration
	loads  int // observed since then
}

// NewLoadWindow returns a window of the initial size.
func NewLoadWindow(cfg WindowConfig) LoadWindow {
	cfg = cfg.withDefaults()
	return LoadWindow{
		cfg:      cfg,
		size:     cfg.Start,
		median:   initialLoadTime,
		baseline: initialBaseline,
		probing:  true,
	}
}

// ApplySettings changes the limits and clamps the current size to them.
func (w *LoadWindow) ApplySettings(cfg WindowConfig) {
	w.cfg = cfg.withDefaults()
	w.size = min(max(w.size, w.cfg.Min), w.cfg.Max)
}

// SetEngineCount sets the number of engines. It affects the size until a load is observed.
func (w *LoadWindow) SetEngineCount(engines int) {
	if !w.learned {
		w.size = min(max(w.cfg.Start, windowStartRatio*float64(engines), w.restored), w.cfg.Max)
	}
}

// Restore restores a size that earlier processes learned. The window starts from it if it
// is larger than the initial size.
func (w *LoadWindow) Restore(size int) {
	w.restored = float64(size)
	if !w.learned {
		w.size = min(max(w.size, w.restored), w.cfg.Max)
	}
}

// Learned returns the size and whether it is based on observed loads.
func (w *LoadWindow) Learned() (size int, ok bool) {
	return w.Size(), w.learned
}

// Size returns the number of loads that may be in flight.
func (w *LoadWindow) Size() int {
	return int(w.size)
}

// MedianLoadTime returns the median duration of recent loads.
func (w *LoadWindow) MedianLoadTime() time.Duration {
	return w.median
}

// ObserveLoad records the duration of a load and the number of loads that were in flight
// when it ended, including itself.
func (w *LoadWindow) ObserveLoad(now time.Time, d time.Duration, inFlight int) {
	if w.fromMemory(d) {
		return
	}
	w.recent = append(w.recent, d)
	if len(w.recent) > windowSamples {
		w.recent = w.recent[1:]
	}
	sorted := slices.Sorted(slices.Values(w.recent))
	w.median = sorted[len(sorted)/2]
	w.updateBaseline(now)
	slow := float64(w.median) > slowLoadRatio*float64(w.baseline)
	if !slow {
		w.slowPhase = slowPhase{}
	}
	switch {
	case slow && w.ineffective():
		w.baseline = w.median
		w.probing = true
		w.slowPhase = slowPhase{}
	case slow:
		w.probing = false
		w.shrink(now)
	case float64(inFlight) < windowMinUse*w.size:
		// A window that is not used up gives no evidence for a larger one.
	case w.probing:
		w.size = min(w.cfg.Max, w.size+windowProbe)
	default:
		w.size = min(w.cfg.Max, w.size+1/w.size)
	}
}

// fromMemory reports whether a load was too fast to have come from the weight store, unless
// fastLoadsInRow loads in a row were.
func (w *LoadWindow) fromMemory(d time.Duration) bool {
	if float64(d) >= memoryLoadRatio*float64(w.baseline) {
		w.fastLoads = 0
		return false
	}
	w.fastLoads++
	return w.fastLoads < fastLoadsInRow
}

// updateBaseline updates the baseline. It follows the median at once when that falls and
// slowly when it rises, so that a store that has become permanently slower does not count
// as overloaded forever.
func (w *LoadWindow) updateBaseline(now time.Time) {
	if !w.learned {
		w.learned = true
		w.baselineAt = now
	}
	since := now.Sub(w.baselineAt)
	w.baselineAt = now
	if w.median < w.baseline {
		w.baseline = w.median
		return
	}
	part := min(1, since.Seconds()/baselineMemory.Seconds())
	w.baseline += time.Duration(part * float64(w.median-w.baseline))
}

// ineffective counts a slow load and reports whether loads stayed slow although the
// window has shrunk.
func (w *LoadWindow) ineffective() bool {
	p := &w.slowPhase
	if p.size == 0 {
		p.size = w.size
		p.median = w.median
	}
	p.loads++
	return p.loads > ineffectiveLoads && w.size <= ineffectiveSize*p.size && float64(w.median) >= ineffectiveTime*float64(p.median)
}

// shrink reduces the window, at most once per load time, so that loads that were in flight
// together reduce it only once.
func (w *LoadWindow) shrink(now time.Time) {
	if now.Sub(w.shrunkAt) < w.median {
		return
	}
	w.shrunkAt = now
	w.size = max(w.cfg.Min, w.size*windowShrink)
}
