package decide_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// crashSimulation simulates, in virtual time, gateways and engines that end while they
// serve certain requests. The traffic consists of requests that are unique to a caller,
// some of which are resumed or retried after a cut; of one popular request sent by many
// callers; and of fatal requests, each sent several times a second through any gateway.
// Once, all engines end at the same time.
type crashSimulation struct {
	variant    crashVariant
	rand       *rand.Rand
	now        time.Time
	events     simEvents
	gateways   []*decide.CrashTracker
	up         []bool
	restarts   []int
	running    []map[*simRequest]bool // by engine
	stored     []wardturn.RecordedCrash
	storedRead []int // number of stored records read, by gateway
	fatal      map[wardturn.ContentID]*fatalResult
	result     crashResult
	starts     int
}

// start starts a request at an engine.
func (s *crashSimulation) start(e int, r *simRequest) {
	s.starts++
	r.number = s.starts
	s.running[e][r] = true
}

// crashVariant is one variant of the handling of crashes.
type crashVariant struct {
	name      string
	limit     int
	noClear   bool // responses do not clear a content
	storeOnly bool // gateways share crashes through the store only
	// errors is the share of requests, regardless of content, that engines answer with an
	// error response.
	errors      float64
	errorsClear bool // an error response clears a content
}

type crashResult struct {
	ended int // engines ended by fatal requests
	// late is the largest number of times that a fatal request was sent more than 3 s after
	// it had ended its third engine.
	late     int
	cut      int // other requests that were cut off
	refused  int // other requests refused as crashing
	answered int
}

type fatalResult struct {
	ended   int
	thirdAt time.Time
	late    int
}

type simRequest struct {
	number  int // in order of their starts
	content wardturn.ContentID
	gateway int
	left    time.Duration
	retries int // remaining resumptions or retries after a cut
}

type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simGateways       = 4
	simEngines        = 12
	simDuration       = 60 * time.Second
	simRestartTime    = 3300 * time.Millisecond // time until an engine that ended is back
	simFatalTime      = 60 * time.Millisecond   // run time of a fatal request
	simDetectionDelay = 25 * time.Millisecond   // until a gateway knows that an engine has ended
	simMessageDelay   = 10 * time.Millisecond
	simReadInterval   = 1200 * time.Millisecond // interval between reads of the store
	simUniqueRate     = 200                     // unique requests per second
	simPopularRate    = 20                      // popular requests per second
	simOutageAt       = 40 * time.Second
)

func (s *crashSimulation) after(d time.Duration, f func()) {
	heap.Push(&s.events, simEvent{
		at: s.now.Add(d),
		do: f,
	})
}

func (s *crashSimulation) every(d time.Duration, f func()) {
	s.after(time.Duration(s.rand.ExpFloat64()*float64(d)), func() {
		f()
		s.every(d, f)
	})
}

func runCrashSimulation(variant crashVariant, seed uint64) crashResult {
	s := &crashSimulation{
		variant:    variant,
		rand:       rand.New(rand.NewPCG(seed, 1)),
		now:        time.Unix(1_000_000, 0),
		storedRead: make([]int, simGateways),
		fatal:      make(map[wardturn.ContentID]*fatalResult),
		restarts:   make([]int, simEngines),
	}
	for range simGateways {
		s.gateways = append(s.gateways, decide.NewCrashTracker(decide.CrashConfig{
			Limit:  variant.limit,
			Memory: time.Hour,
		}))
	}
	for range simEngines {
		s.up = append(s.up, true)
		s.running = append(s.running, make(map[*simRequest]bool))
	}
	s.begin()
	until := s.now.Add(simDuration)
	for s.now.Before(until) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	for _, f := range s.fatal {
		s.result.late = max(s.result.late, f.late)
	}
	return s.result
}

// begin schedules the callers, the gateways' reads and the outage.
func (s *crashSimulation) begin() {
	for i := range 2 {
		content := wardturn.ContentID(fmt.Sprint("fatal", i))
		s.fatal[content] = &fatalResult{}
		s.every(250*time.Millisecond, func() {
			s.sendFatal(content)
		})
	}
	n := 0
	s.every(time.Second/simUniqueRate, func() {
		n++
		s.send(&simRequest{
			content: wardturn.ContentID(fmt.Sprint("usual", n)),
			gateway: s.rand.IntN(simGateways),
			left:    time.Duration(1500+s.rand.IntN(2000)) * time.Millisecond,
			retries: s.rand.IntN(3),
		})
	})
	s.every(time.Second/simPopularRate, func() {
		s.send(&simRequest{
			content: "popular",
			gateway: s.rand.IntN(simGateways),
			left:    60 * time.Millisecond,
		})
	})
	for i := range simGateways {
		s.every(simReadInterval, func() {
			s.gateways[i].AddRecorded(s.now, s.stored[s.storedRead[i]:])
			s.storedRead[i] = len(s.stored)
			s.gateways[i].Sweep(s.now)
		})
	}
	s.after(simOutageAt, func() {
		for i := range simEngines {
			s.after(time.Duration(s.rand.IntN(300))*time.Millisecond, func() {
				s.end(i)
			})
		}
	})
}

// engine returns a random running engine, or -1.
func (s *crashSimulation) engine() int {
	first := s.rand.IntN(simEngines)
	for i := range simEngines {
		if e := (first + i) % simEngines; s.up[e] {
			return e
		}
	}
	return -1
}

func (s *crashSimulation) sendFatal(content wardturn.ContentID) {
	gateway := s.rand.IntN(simGateways)
	if _, refused := s.gateways[gateway].Refuses(s.now, content); refused {
		return
	}
	e := s.engine()
	if e < 0 {
		return
	}
	f := s.fatal[content]
	if f.ended >= 3 && s.now.Sub(f.thirdAt) > 3*time.Second {
		f.late++
	}
	r := &simRequest{
		content: content,
		gateway: gateway,
	}
	s.start(e, r)
	fails := s.nextFails()
	s.after(simFatalTime, func() {
		if !s.running[e][r] {
			return
		}
		if fails {
			s.fail(e, r)
			return
		}
		s.end(e)
		s.result.ended++
		if f.ended++; f.ended == 3 {
			f.thirdAt = s.now
		}
	})
}

func (s *crashSimulation) send(r *simRequest) {
	if _, refused := s.gateways[r.gateway].Refuses(s.now, r.content); refused {
		s.result.refused++
		return
	}
	e := s.engine()
	if e < 0 {
		return
	}
	s.start(e, r)
	if s.nextFails() {
		s.after(simFatalTime, func() {
			if s.running[e][r] {
				s.fail(e, r)
			}
		})
		return
	}
	s.after(r.left, func() {
		if s.running[e][r] {
			delete(s.running[e], r)
			s.answered(r)
		}
	})
}

// nextFails reports whether an engine answers the next request with an error response.
func (s *crashSimulation) nextFails() bool {
	return s.variant.errors > 0 && s.rand.Float64() < s.variant.errors
}

// fail ends a request with an error response.
func (s *crashSimulation) fail(e int, r *simRequest) {
	delete(s.running[e], r)
	if s.variant.errorsClear {
		s.answered(r)
	}
}

func (s *crashSimulation) answered(r *simRequest) {
	s.result.answered++
	if s.variant.noClear {
		return
	}
	if !s.gateways[r.gateway].Answered(s.now, r.content) {
		return
	}
	for i, g := range s.gateways {
		if i != r.gateway && !s.variant.storeOnly {
			s.after(simMessageDelay, func() {
				g.ClearReported([]wardturn.ContentID{r.content})
			})
		}
	}
}

// end ends an engine and cuts off its requests.
func (s *crashSimulation) end(e int) {
	if !s.up[e] {
		return
	}
	s.up[e] = false
	id := wardturn.UpstreamID(fmt.Sprintf("e%d-%d", e, s.restarts[e]))
	affected := make(map[int]bool)
	// In order of their start: the order of a map would make the result depend on more
	// than the seed.
	cut := slices.SortedFunc(maps.Keys(s.running[e]), func(x, y *simRequest) int {
		return x.number - y.number
	})
	for _, r := range cut {
		s.gateways[r.gateway].RequestBroke(s.now, r.content, id)
		affected[r.gateway] = true
		if s.fatal[r.content] != nil {
			continue
		}
		s.result.cut++
		if r.retries > 0 {
			r.retries--
			s.after(time.Duration(10+s.rand.IntN(300))*time.Millisecond, func() {
				s.send(r)
			})
		}
	}
	clear(s.running[e])
	for i := range simGateways {
		if affected[i] {
			s.after(simDetectionDelay, func() {
				s.shareCrashes(i, s.gateways[i].UpstreamEnded(s.now, id))
			})
		}
	}
	s.after(simRestartTime, func() {
		s.restarts[e]++
		s.up[e] = true
	})
}

// shareCrashes sends new crashes from a gateway to the others, and writes the records
// that are due.
func (s *crashSimulation) shareCrashes(gateway int, fresh []wardturn.Crash) {
	for i, g := range s.gateways {
		if i != gateway && !s.variant.storeOnly {
			s.after(simMessageDelay, func() {
				g.AddReported(s.now, fresh)
				s.record(i)
			})
		}
	}
	s.record(gateway)
}

func (s *crashSimulation) record(gateway int) {
	due, deletes := s.gateways[gateway].PendingWrites(s.now, s.variant.storeOnly)
	for _, crash := range due {
		s.stored = append(s.stored, wardturn.RecordedCrash{
			Crash: crash,
			At:    s.now,
		})
	}
	s.gateways[gateway].Written(due, deletes)
}

// With crash handling, few engines end, fatal requests are refused in time and others are
// not refused. The test compares variants over ten seeds of a minute each.
func TestCrashesOfManyGateways(t *testing.T) {
	const never = 1 << 20
	sum := func(variant crashVariant) crashResult {
		var all crashResult
		for seed := range uint64(10) {
			f := runCrashSimulation(variant, seed)
			all.ended += f.ended
			all.late = max(all.late, f.late)
			all.cut += f.cut
			all.refused += f.refused
			all.answered += f.answered
		}
		t.Logf("%-28s engines ended %4d, late sends at most %3d, others cut %6d, refused %5d, answered %d", variant.name, all.ended, all.late, all.cut, all.refused, all.answered)
		return all
	}
	unlimited := sum(crashVariant{
		name:  "without",
		limit: never,
	})
	limitTwo := sum(crashVariant{
		name:  "limit two",
		limit: 2,
	})
	limitThree := sum(crashVariant{
		name:  "limit three",
		limit: 3,
	})
	noClear := sum(crashVariant{
		name:    "responses do not clear",
		limit:   3,
		noClear: true,
	})
	storeOnly := sum(crashVariant{
		name:      "through the store alone",
		limit:     3,
		storeOnly: true,
	})
	if limitThree.late > 3 || storeOnly.late > 3 {
		t.Errorf("%d late sends, %d when sharing through the store only; at most 3 are allowed", limitThree.late, storeOnly.late)
	}
	if limitThree.ended*10 > unlimited.ended {
		t.Errorf("%d engines ended, %d without crash handling", limitThree.ended, unlimited.ended)
	}
	if limitThree.refused > 0 {
		t.Errorf("%d other requests were refused", limitThree.refused)
	}
	if noClear.refused <= limitThree.refused || limitTwo.ended > limitThree.ended {
		t.Error("the variants do not differ as expected")
	}
}

// A faulty engine answers with an error response, whatever the request. If such a
// response cleared a content, fatal requests would be refused late or never. If it does
// not, no other request is refused because of it.
func TestCrashesOfFailingEngines(t *testing.T) {
	for _, errors := range []float64{0.3, 0.5, 0.7} {
		for _, clear := range []bool{true, false} {
			var all crashResult
			for seed := range uint64(10) {
				f := runCrashSimulation(crashVariant{
					limit:       3,
					errors:      errors,
					errorsClear: clear,
				}, seed)
				all.ended += f.ended
				all.late = max(all.late, f.late)
				all.refused += f.refused
			}
			t.Logf("errors %.1f, clear %-5v: engines ended %4d, late sends at most %3d, others refused %d", errors, clear, all.ended, all.late, all.refused)
			if clear {
				continue
			}
			if all.late > 3 {
				t.Errorf("%d late sends with an error share of %.1f; at most 3 are allowed", all.late, errors)
			}
			if all.refused > 0 {
				t.Errorf("%d other requests were refused with an error share of %.1f", all.refused, errors)
			}
		}
	}
}
