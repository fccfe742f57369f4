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

// crashSim simulates, in virtual time, gateways and engines that end while they serve
// certain requests. The traffic consists of requests that are unique to a caller, some of
// which are resumed or retried after a cut; of one popular request sent by many callers;
// and of fatal requests, each sent several times a second through any gateway. Once, all
// engines end at the same time.
type crashSim struct {
	way    crashWay
	draw   *rand.Rand
	now    time.Time
	events simEvents
	gates  []*decide.Crashes
	up     []bool
	lives  []int
	runs   []map[*simRun]bool // by engine
	stored []wardturn.RecordedCrash
	read   []int // number of stored records read, by gateway
	fatals map[wardturn.ContentID]*fatalTally
	got    crashFigures
	starts int
}

// start starts a request at an engine.
func (s *crashSim) start(e int, r *simRun) {
	s.starts++
	r.number = s.starts
	s.runs[e][r] = true
}

// crashWay is one variant of the handling of crashes.
type crashWay struct {
	name    string
	limit   int
	noClear bool // responses do not clear a content
	noWords bool // gateways share crashes through the store only
	// errors is the share of requests, regardless of content, that engines answer with an
	// error response.
	errors      float64
	errorsClear bool // an error response clears a content
}

type crashFigures struct {
	ended    int // engines ended by fatal requests
	late     int // largest number of times a fatal request was sent more than 3 s after it ended its third engine
	cut      int // other requests that were cut off
	refused  int // other requests refused as crashing
	answered int
}

type fatalTally struct {
	ended   int
	thirdAt time.Time
	late    int
}

type simRun struct {
	number  int // in order of their starts
	content wardturn.ContentID
	gate    int
	left    time.Duration
	again   int // remaining resumptions or retries after a cut
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
	simGates   = 4
	simEngines = 12
	simFor     = 60 * time.Second
	simBack    = 3300 * time.Millisecond // time until an engine that ended is back
	simFatal   = 60 * time.Millisecond   // run time of a fatal request
	simSeen    = 25 * time.Millisecond   // time until a gateway knows that an engine has ended
	simWord    = 10 * time.Millisecond
	simRead    = 1200 * time.Millisecond // interval between reads of the store
	simUsual   = 200                     // unique requests per second
	simPopular = 20                      // popular requests per second
	simOutage  = 40 * time.Second
)

func (s *crashSim) after(d time.Duration, f func()) {
	heap.Push(&s.events, simEvent{
		at: s.now.Add(d),
		do: f,
	})
}

func (s *crashSim) every(d time.Duration, f func()) {
	s.after(time.Duration(s.draw.ExpFloat64()*float64(d)), func() {
		f()
		s.every(d, f)
	})
}

func playCrashes(way crashWay, seed uint64) crashFigures {
	s := &crashSim{
		way:    way,
		draw:   rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1_000_000, 0),
		read:   make([]int, simGates),
		fatals: make(map[wardturn.ContentID]*fatalTally),
		lives:  make([]int, simEngines),
	}
	for range simGates {
		s.gates = append(s.gates, decide.NewCrashes(decide.CrashConfig{
			Limit:  way.limit,
			Memory: time.Hour,
		}))
	}
	for range simEngines {
		s.up = append(s.up, true)
		s.runs = append(s.runs, make(map[*simRun]bool))
	}
	s.begin()
	until := s.now.Add(simFor)
	for s.now.Before(until) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	for _, f := range s.fatals {
		s.got.late = max(s.got.late, f.late)
	}
	return s.got
}

// begin schedules the callers, the gateways' reads and the outage.
func (s *crashSim) begin() {
	for i := range 2 {
		content := wardturn.ContentID(fmt.Sprint("fatal", i))
		s.fatals[content] = &fatalTally{}
		s.every(250*time.Millisecond, func() {
			s.sendFatal(content)
		})
	}
	n := 0
	s.every(time.Second/simUsual, func() {
		n++
		s.send(&simRun{
			content: wardturn.ContentID(fmt.Sprint("usual", n)),
			gate:    s.draw.IntN(simGates),
			left:    time.Duration(1500+s.draw.IntN(2000)) * time.Millisecond,
			again:   s.draw.IntN(3),
		})
	})
	s.every(time.Second/simPopular, func() {
		s.send(&simRun{
			content: "popular",
			gate:    s.draw.IntN(simGates),
			left:    60 * time.Millisecond,
		})
	})
	for i := range simGates {
		s.every(simRead, func() {
			s.gates[i].Recorded(s.now, s.stored[s.read[i]:])
			s.read[i] = len(s.stored)
			s.gates[i].Sweep(s.now)
		})
	}
	s.after(simOutage, func() {
		for i := range simEngines {
			s.after(time.Duration(s.draw.IntN(300))*time.Millisecond, func() {
				s.end(i)
			})
		}
	})
}

// engine returns a random running engine, or -1.
func (s *crashSim) engine() int {
	first := s.draw.IntN(simEngines)
	for i := range simEngines {
		if e := (first + i) % simEngines; s.up[e] {
			return e
		}
	}
	return -1
}

func (s *crashSim) sendFatal(content wardturn.ContentID) {
	gate := s.draw.IntN(simGates)
	if _, refused := s.gates[gate].Refuses(s.now, content); refused {
		return
	}
	e := s.engine()
	if e < 0 {
		return
	}
	f := s.fatals[content]
	if f.ended >= 3 && s.now.Sub(f.thirdAt) > 3*time.Second {
		f.late++
	}
	r := &simRun{
		content: content,
		gate:    gate,
	}
	s.start(e, r)
	erring := s.errs()
	s.after(simFatal, func() {
		if !s.runs[e][r] {
			return
		}
		if erring {
			s.erred(e, r)
			return
		}
		s.end(e)
		s.got.ended++
		if f.ended++; f.ended == 3 {
			f.thirdAt = s.now
		}
	})
}

func (s *crashSim) send(r *simRun) {
	if _, refused := s.gates[r.gate].Refuses(s.now, r.content); refused {
		s.got.refused++
		return
	}
	e := s.engine()
	if e < 0 {
		return
	}
	s.start(e, r)
	if s.errs() {
		s.after(simFatal, func() {
			if s.runs[e][r] {
				s.erred(e, r)
			}
		})
		return
	}
	s.after(r.left, func() {
		if s.runs[e][r] {
			delete(s.runs[e], r)
			s.answered(r)
		}
	})
}

// errs reports whether an engine answers the next request with an error response.
func (s *crashSim) errs() bool {
	return s.way.errors > 0 && s.draw.Float64() < s.way.errors
}

// erred ends a request with an error response.
func (s *crashSim) erred(e int, r *simRun) {
	delete(s.runs[e], r)
	if s.way.errorsClear {
		s.answered(r)
	}
}

func (s *crashSim) answered(r *simRun) {
	s.got.answered++
	if s.way.noClear {
		return
	}
	if !s.gates[r.gate].Answered(s.now, r.content) {
		return
	}
	for i, g := range s.gates {
		if i != r.gate && !s.way.noWords {
			s.after(simWord, func() {
				g.Cleared([]wardturn.ContentID{r.content})
			})
		}
	}
}

// end ends an engine and cuts off its requests.
func (s *crashSim) end(e int) {
	if !s.up[e] {
		return
	}
	s.up[e] = false
	id := wardturn.UpstreamID(fmt.Sprintf("e%d-%d", e, s.lives[e]))
	seen := make(map[int]bool)
	// In order of their start: the order of a map would make the result depend on more
	// than the seed.
	cut := slices.SortedFunc(maps.Keys(s.runs[e]), func(x, y *simRun) int {
		return x.number - y.number
	})
	for _, r := range cut {
		s.gates[r.gate].Broke(s.now, r.content, id)
		seen[r.gate] = true
		if s.fatals[r.content] != nil {
			continue
		}
		s.got.cut++
		if r.again > 0 {
			r.again--
			s.after(time.Duration(10+s.draw.IntN(300))*time.Millisecond, func() {
				s.send(r)
			})
		}
	}
	clear(s.runs[e])
	for i := range simGates {
		if seen[i] {
			s.after(simSeen, func() {
				s.tell(i, s.gates[i].Ended(s.now, id))
			})
		}
	}
	s.after(simBack, func() {
		s.lives[e]++
		s.up[e] = true
	})
}

// tell sends new crashes from a gateway to the others, and writes the records that are
// due.
func (s *crashSim) tell(gate int, fresh []wardturn.Crash) {
	for i, g := range s.gates {
		if i != gate && !s.way.noWords {
			s.after(simWord, func() {
				g.Heard(s.now, fresh)
				s.record(i)
			})
		}
	}
	s.record(gate)
}

func (s *crashSim) record(gate int) {
	due, takeBack := s.gates[gate].Due(s.now, s.way.noWords)
	for _, crash := range due {
		s.stored = append(s.stored, wardturn.RecordedCrash{
			Crash: crash,
			At:    s.now,
		})
	}
	s.gates[gate].Written(due, takeBack)
}

// Compares variants of crash handling over ten seeds of a minute each.
func TestCrashesOfManyGateways(t *testing.T) {
	const never = 1 << 20
	sum := func(way crashWay) crashFigures {
		var all crashFigures
		for seed := range uint64(10) {
			f := playCrashes(way, seed)
			all.ended += f.ended
			all.late = max(all.late, f.late)
			all.cut += f.cut
			all.refused += f.refused
			all.answered += f.answered
		}
		t.Logf("%-28s engines ended %4d, late sends at most %3d, others cut %6d, refused %5d, answered %d", way.name, all.ended, all.late, all.cut, all.refused, all.answered)
		return all
	}
	without := sum(crashWay{
		name:  "without",
		limit: never,
	})
	two := sum(crashWay{
		name:  "limit two",
		limit: 2,
	})
	kept := sum(crashWay{
		name:  "limit three",
		limit: 3,
	})
	noClear := sum(crashWay{
		name:    "answers do not clear",
		limit:   3,
		noClear: true,
	})
	noWords := sum(crashWay{
		name:    "through the store alone",
		limit:   3,
		noWords: true,
	})
	if kept.late > 3 || noWords.late > 3 {
		t.Errorf("%d late sends, %d when sharing through the store only; at most 3 are allowed", kept.late, noWords.late)
	}
	if kept.ended*10 > without.ended {
		t.Errorf("%d engines ended, %d without crash handling", kept.ended, without.ended)
	}
	if kept.refused > 0 {
		t.Errorf("%d other requests were refused", kept.refused)
	}
	if noClear.refused <= kept.refused || two.ended > kept.ended {
		t.Error("the variants do not differ as expected")
	}
}

// A faulty engine answers with an error response, whatever the request. If such a
// response cleared a content, fatal requests would be refused late or never. If it does
// not, no other request is refused because of it.
func TestCrashesOfFailingEngines(t *testing.T) {
	for _, errors := range []float64{0.3, 0.5, 0.7} {
		for _, clear := range []bool{true, false} {
			var all crashFigures
			for seed := range uint64(10) {
				f := playCrashes(crashWay{
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
