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
}

// The defaults of WindowConfig.
const (
	// DefaultWindowStart is few enough for the smallest weight store that is
	// known (8 at full speed); where there are many engines the window begins with
	// windowStartPart.
	DefaultWindowStart = 8
	DefaultWindowLeast = 4
	// DefaultWindowMost is over ten times the places of the largest known store.
	DefaultWindowMost = 1024
)

func (c WindowConfig) withDefaults() WindowConfig {
	c.Start = cmp.Or(c.Start, DefaultWindowStart)
	c.Least = cmp.Or(c.Least, DefaultWindowLeast)
	c.Most = cmp.Or(c.Most, DefaultWindowMost)
	return c
}

const (
	windowShrink  = 0.85            // factor after slow loads
	windowUsed    = 0.7             // part of the window that must be in use for it to grow
	windowSamples = 15              // loads whose median is the typical time: single slow ones tell of their engine
	slowLoads     = 1.3             // typical time, as a part of the usual one, from which loads count as slow
	usualMemory   = 5 * time.Minute // time constant with which the usual time follows longer ones
	windowProbe   = 0.5             // growth for a load before the first slow one: half again with each load time
	// windowStartPart is the part of engines that may each have a load under way at
	// the start. A store is built for its engines: the known ones serve 0.33 to 2
	// loads for each at full speed. From a few the window takes over a second to what a
	// store for many engines serves, and the requests of that time are late.
	windowStartPart = 0.5
	// expectedLoad is the time of a load from a store that is not overloaded, with its
	// order and report: 250 ms by the platform's description, and 20. Loads count
	// as slow against this until quicker ones were seen: a window that begins above
	// what the store serves would take the slowness for usual.
	expectedLoad = 270 * time.Millisecond
	// A store that takes as long when the window is down to unhelpedSize of what it
	// was, by unhelpedTime, is slow by itself: that time is the usual one.
	unhelpedSize  = 0.6
	unhelpedTime  = 0.9
	unhelpedLoads = 2 * windowSamples // loads since, so that none of before counts
	// memoryPart is the part of the usual time below which a load was not from the
	// store: an engine brings back in a tenth of it what it held before, and a
	// gateway that has just started does not know what that is. Counted as loads
	// from the store they make all others look slow, and the window falls to its least.
	memoryPart = 0.35
	// quickInRow is how many such loads in a row say that the store has become
	// quicker. One in three was from memory where it mattered.
	quickInRow = 30
	loadGuess  = 300 * time.Millisecond // told to callers before any load was seen
)

// LoadWindow bounds the loads that are under way from the weight store for all
// gateways together. Every gateway sees all loads, since keepers tell what comes
// to their engines; so all learn the same window: it widens while loads take
// their usual time and narrows when they slow down, as congestion control does.
// Beyond what the store serves at once more loads only take longer, and come
// when those that waited have left.
type LoadWindow struct {
	cfg       WindowConfig
	size      float64
	recent    []time.Duration
	typical   time.Duration // the median of the recent ones
	usual     time.Duration // the least typical time seen
	learned   bool          // a load was seen
	recalled  float64       // size that was learned by processes before; zero: none
	narrowing narrowing
	quick     int  // loads in a row that seemed to come from memory
	probing   bool // no load was slow yet
	shrunkAt  time.Time
	learnedAt time.Time // latest change of the usual time
}

// narrowing is what a window was when loads became slow.
type narrowing struct {
	size    float64 // zero: loads are not slow
	typical time.Duration
	loads   int // since
}

// NewLoadWindow returns a window of the start size.
func NewLoadWindow(cfg WindowConfig) LoadWindow {
	cfg = cfg.withDefaults()
	return LoadWindow{
		cfg:     cfg,
		size:    cfg.Start,
		typical: loadGuess,
		usual:   expectedLoad,
		probing: true,
	}
}

// Retune changes the limits; the present size stays within them.
func (w *LoadWindow) Retune(cfg WindowConfig) {
	w.cfg = cfg.withDefaults()
	w.size = min(max(w.size, w.cfg.Least), w.cfg.Most)
}

// Expect says how many engines there are, which counts until a load was seen.
func (w *LoadWindow) Expect(engines int) {
	if !w.learned {
		w.size = min(max(w.cfg.Start, windowStartPart*float64(engines), w.recalled), w.cfg.Most)
	}
}

// Recall takes a size that was learned by processes before, from which the window
// starts if that is more.
func (w *LoadWindow) Recall(size int) {
	w.recalled = float64(size)
	if !w.learned {
		w.size = min(max(w.size, w.recalled), w.cfg.Most)
	}
}

// Learned returns the size, and whether loads have confirmed it.
func (w *LoadWindow) Learned() (size int, ok bool) {
	return w.Size(), w.learned
}

// Size returns the loads that may be under way.
func (w *LoadWindow) Size() int {
	return int(w.size)
}

// Typical returns the usual time of a load at present.
func (w *LoadWindow) Typical() time.Duration {
	return w.typical
}

// Loaded takes the time of a load and how many were under way when it ended,
// itself among them.
func (w *LoadWindow) Loaded(now time.Time, d time.Duration, under int) {
	if w.fromMemory(d) {
		return
	}
	w.recent = append(w.recent, d)
	if len(w.recent) > windowSamples {
		w.recent = w.recent[1:]
	}
	sorted := slices.Sorted(slices.Values(w.recent))
	w.typical = sorted[len(sorted)/2]
	w.learnUsual(now)
	slow := float64(w.typical) > slowLoads*float64(w.usual)
	if !slow {
		w.narrowing = narrowing{}
	}
	switch {
	case slow && w.unhelped():
		w.usual = w.typical
		w.probing = true
		w.narrowing = narrowing{}
	case slow:
		w.probing = false
		w.shrink(now)
	case float64(under) < windowUsed*w.size:
		// What is not used says nothing of a wider window.
	case w.probing:
		w.size = min(w.cfg.Most, w.size+windowProbe)
	default:
		w.size = min(w.cfg.Most, w.size+1/w.size)
	}
}

// fromMemory reports whether a load took too little time for the weight store.
func (w *LoadWindow) fromMemory(d time.Duration) bool {
	if float64(d) >= memoryPart*float64(w.usual) {
		w.quick = 0
		return false
	}
	w.quick++
	return w.quick < quickInRow
}

// learnUsual follows the typical time at once when it falls and slowly when it
// rises: a store that has become slower for good is not taken to be overloaded for
// ever.
func (w *LoadWindow) learnUsual(now time.Time) {
	if !w.learned {
		w.learned = true
		w.learnedAt = now
	}
	since := now.Sub(w.learnedAt)
	w.learnedAt = now
	if w.typical < w.usual {
		w.usual = w.typical
		return
	}
	part := min(1, since.Seconds()/usualMemory.Seconds())
	w.usual += time.Duration(part * float64(w.typical-w.usual))
}

// unhelped counts a slow load and reports whether loads are slow whatever the
// window.
func (w *LoadWindow) unhelped() bool {
	n := &w.narrowing
	if n.size == 0 {
		n.size = w.size
		n.typical = w.typical
	}
	n.loads++
	return n.loads > unhelpedLoads && w.size <= unhelpedSize*n.size && float64(w.typical) >= unhelpedTime*float64(n.typical)
}

// shrink narrows the window, once for the loads that were under way together.
func (w *LoadWindow) shrink(now time.Time) {
	if now.Sub(w.shrunkAt) < w.typical {
		return
	}
	w.shrunkAt = now
	w.size = max(w.cfg.Least, w.size*windowShrink)
}
