package report

import (
	"slices"
	"strings"
	"sync"
	"time"

	"wardturn"
)

// Indicator is the name of a service-level indicator.
type Indicator string

// The indicators.
const (
	LoadStall  Indicator = "load_stall"
	FirstToken Indicator = "first_token"
	TokenGap   Indicator = "token_gap" // mean time between tokens of an answer
	Lookup     Indicator = "lookup"    // duration of a call of a plain service
	Answered   Indicator = "answered"  // good if the request completed
)

// Indicators lists all indicators.
func Indicators() []Indicator {
	return []Indicator{LoadStall, FirstToken, TokenGap, Lookup, Answered}
}

// SeriesKey identifies a series of windows.
type SeriesKey struct {
	Indicator Indicator       `json:"indicator"`
	Team      wardturn.TeamID `json:"team"`
	Policy    string          `json:"policy"`
}

// bucketBounds are the inclusive upper bounds of the histogram buckets. They grow by a
// factor of √2, from 1 ms to about 90 s. One more bucket counts all longer times.
var bucketBounds = newBucketBounds()

const (
	bucketCount = 34
	firstBound  = time.Millisecond
)

func newBucketBounds() []time.Duration {
	const rootTwo = 1.4142135623730951
	list := make([]time.Duration, 0, bucketCount)
	v := float64(firstBound)
	for range bucketCount {
		list = append(list, time.Duration(v))
		v *= rootTwo
	}
	return list
}

// Histogram counts events by duration. Bad counts events that are bad at any threshold:
// requests that did not complete.
type Histogram struct {
	Counts [bucketCount + 1]uint32 `json:"counts"`
	Bad    uint32                  `json:"bad"`
}

// Add counts an event.
func (h *Histogram) Add(d time.Duration) {
	i, _ := slices.BinarySearch(bucketBounds, d)
	h.Counts[i]++
}

// Merge adds another histogram's counts.
func (h *Histogram) Merge(other Histogram) {
	for i, n := range other.Counts {
		h.Counts[i] += n
	}
	h.Bad += other.Bad
}

// TotalCount returns the number of events.
func (h *Histogram) TotalCount() uint64 {
	n := uint64(h.Bad)
	for _, c := range h.Counts {
		n += uint64(c)
	}
	return n
}

// GoodCount returns the number of events at or below a threshold, which is rounded up to
// the upper bound of its bucket. With a zero threshold it returns the number of all
// events that are not in Bad.
func (h *Histogram) GoodCount(threshold time.Duration) uint64 {
	last := bucketCount
	if threshold > 0 {
		last, _ = slices.BinarySearch(bucketBounds, threshold)
	}
	n := uint64(0)
	for _, c := range h.Counts[:min(last+1, len(h.Counts))] {
		n += uint64(c)
	}
	return n
}

// Window has the counts of one series in one minute.
type Window struct {
	SeriesKey
	Start time.Time `json:"start"`
	Histogram
}

// Minute is the length of a window.
const Minute = time.Minute

// maxMinutes is the number of minutes that a recorder keeps: six hours, the longest
// alert window.
const maxMinutes = 360

// maxSeries is the number of series per minute that are counted separately. Events of
// further series are counted in one series per indicator, without team and policy.
const maxSeries = 512

// Recorder counts the events of one process. It is safe for concurrent use.
type Recorder struct {
	process wardturn.Incarnation
	clock   wardturn.Clock
	started time.Time

	mu      sync.Mutex
	minutes []minuteCounts // in order of start
}

type minuteCounts struct {
	start  time.Time
	series map[SeriesKey]*Histogram
}

// NewRecorder returns a recorder for the events of a process from now on.
func NewRecorder(clock wardturn.Clock, process wardturn.Incarnation) *Recorder {
	return &Recorder{
		process: process,
		clock:   clock,
		started: clock.Now(),
	}
}

// Add counts an event of a series with its duration.
func (r *Recorder) Add(k SeriesKey, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histogram(k).Add(d)
}

// AddBad counts an event that is bad at any threshold.
func (r *Recorder) AddBad(k SeriesKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histogram(k).Bad++
}

func (r *Recorder) histogram(k SeriesKey) *Histogram {
	start := r.clock.Now().Truncate(Minute)
	n := len(r.minutes)
	if n == 0 || r.minutes[n-1].start.Before(start) {
		r.minutes = append(r.minutes, minuteCounts{
			start:  start,
			series: make(map[SeriesKey]*Histogram),
		})
		if len(r.minutes) > maxMinutes {
			r.minutes = r.minutes[1:]
		}
		n = len(r.minutes)
	}
	m := r.minutes[n-1]
	if m.series[k] == nil && len(m.series) >= maxSeries {
		k = SeriesKey{
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

// ProcessCounts has the counts of one process. It counts since Started; Time is the time
// at which the counts were taken.
type ProcessCounts struct {
	Process wardturn.Incarnation `json:"process"`
	Started time.Time            `json:"started"`
	Time    time.Time            `json:"at"`
	Windows []Window             `json:"windows"`
}

// Counts returns the windows that start at or after since.
func (r *Recorder) Counts(since time.Time) ProcessCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := ProcessCounts{
		Process: r.process,
		Started: r.started,
		Time:    r.clock.Now(),
		Windows: []Window{},
	}
	for _, m := range r.minutes {
		if m.start.Before(since) {
			continue
		}
		for k, h := range m.series {
			b.Windows = append(b.Windows, Window{
				SeriesKey: k,
				Start:     m.start,
				Histogram: *h,
			})
		}
	}
	slices.SortFunc(b.Windows, func(x, y Window) int {
		if c := x.Start.Compare(y.Start); c != 0 {
			return c
		}
		return strings.Compare(x.SeriesKey.String(), y.SeriesKey.String())
	})
	return b
}

// String returns the key in the form indicator/team/policy.
func (k SeriesKey) String() string {
	return string(k.Indicator) + "/" + string(k.Team) + "/" + k.Policy
}
