package report

import (
	"slices"
	"strings"
	"sync"
	"time"

	"wardturn"
)

// Indicator names what is measured.
type Indicator string

// The indicators.
const (
	LoadStall  Indicator = "load_stall"
	FirstToken Indicator = "first_token"
	TokenGap   Indicator = "token_gap" // mean time between tokens of an answer
	Lookup     Indicator = "lookup"    // whole call of a plain service
	Answered   Indicator = "answered"  // good if the request was done
)

// Indicators lists all indicators.
func Indicators() []Indicator {
	return []Indicator{LoadStall, FirstToken, TokenGap, Lookup, Answered}
}

// Key names one series of windows.
type Key struct {
	Indicator Indicator       `json:"indicator"`
	Team      wardturn.TeamID `json:"team"`
	Policy    string          `json:"policy"`
}

// bounds are the upper edges of the buckets, in seconds: powers of two to the
// half, from 1 ms to about 90 s. Above is one more bucket.
var bounds = makeBounds()

const (
	bucketCount = 34
	firstBound  = time.Millisecond
)

func makeBounds() []time.Duration {
	const rootTwo = 1.4142135623730951
	list := make([]time.Duration, 0, bucketCount)
	v := float64(firstBound)
	for range bucketCount {
		list = append(list, time.Duration(v))
		v *= rootTwo
	}
	return list
}

// Histogram counts events by bucket. Bad are events that can be good at no
// threshold: requests that were not done.
type Histogram struct {
	Counts [bucketCount + 1]uint32 `json:"counts"`
	Bad    uint32                  `json:"bad"`
}

// Add counts an event.
func (h *Histogram) Add(d time.Duration) {
	i, _ := slices.BinarySearch(bounds, d)
	h.Counts[i]++
}

// Merge adds another histogram's counts.
func (h *Histogram) Merge(other Histogram) {
	for i, n := range other.Counts {
		h.Counts[i] += n
	}
	h.Bad += other.Bad
}

// Total returns the number of events.
func (h *Histogram) Total() uint64 {
	n := uint64(h.Bad)
	for _, c := range h.Counts {
		n += uint64(c)
	}
	return n
}

// Good returns the events at or below a threshold, which is rounded up to the
// edge of its bucket. A zero threshold takes every event that was not bad.
func (h *Histogram) Good(threshold time.Duration) uint64 {
	last := bucketCount
	if threshold > 0 {
		last, _ = slices.BinarySearch(bounds, threshold)
	}
	n := uint64(0)
	for _, c := range h.Counts[:min(last+1, len(h.Counts))] {
		n += uint64(c)
	}
	return n
}

// Window is one minute of one series.
type Window struct {
	Key
	Start time.Time `json:"start"`
	Histogram
}

// Minute is the length of a window.
const Minute = time.Minute

// minutesKept bounds the windows that an entry keeps: six hours.
const minutesKept = 360

// seriesKept bounds the series of one minute. Events of further ones count in
// the series without team and policy.
const seriesKept = 512

// Recorder counts the events of one process. It is safe for concurrent use.
type Recorder struct {
	process wardturn.Incarnation
	clock   wardturn.Clock
	started time.Time

	mu      sync.Mutex
	minutes []minute // ascending
}

type minute struct {
	start  time.Time
	series map[Key]*Histogram
}

// NewRecorder returns a recorder that starts counting now.
func NewRecorder(clock wardturn.Clock, process wardturn.Incarnation) *Recorder {
	return &Recorder{
		process: process,
		clock:   clock,
		started: clock.Now(),
	}
}

// Add counts an event of a series.
func (r *Recorder) Add(k Key, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histogram(k).Add(d)
}

// AddBad counts an event that was bad whatever the threshold.
func (r *Recorder) AddBad(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histogram(k).Bad++
}

func (r *Recorder) histogram(k Key) *Histogram {
	start := r.clock.Now().Truncate(Minute)
	n := len(r.minutes)
	if n == 0 || r.minutes[n-1].start.Before(start) {
		r.minutes = append(r.minutes, minute{
			start:  start,
			series: make(map[Key]*Histogram),
		})
		if len(r.minutes) > minutesKept {
			r.minutes = r.minutes[1:]
		}
		n = len(r.minutes)
	}
	m := r.minutes[n-1]
	if m.series[k] == nil && len(m.series) >= seriesKept {
		k = Key{
			Indicator: k.Indicator,
		}
	}
	h := m.series[k]
	if h == nil {
		h = &Histogram{}
		m.series[k] = h
	}
	return h
}

// Batch is what one process counted, and from when on.
type Batch struct {
	Process wardturn.Incarnation `json:"process"`
	Started time.Time            `json:"started"`
	At      time.Time            `json:"at"`
	Windows []Window             `json:"windows"`
}

// Batch returns the windows that start at or after a time.
func (r *Recorder) Batch(since time.Time) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Batch{
		Process: r.process,
		Started: r.started,
		At:      r.clock.Now(),
		Windows: []Window{},
	}
	for _, m := range r.minutes {
		if m.start.Before(since) {
			continue
		}
		for k, h := range m.series {
			b.Windows = append(b.Windows, Window{
				Key:       k,
				Start:     m.start,
				Histogram: *h,
			})
		}
	}
	slices.SortFunc(b.Windows, func(x, y Window) int {
		if c := x.Start.Compare(y.Start); c != 0 {
			return c
		}
		return strings.Compare(x.Key.String(), y.Key.String())
	})
	return b
}

// String returns the key for sorting and messages.
func (k Key) String() string {
	return string(k.Indicator) + "/" + string(k.Team) + "/" + k.Policy
}
