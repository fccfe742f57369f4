package decide_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// partSimulation simulates, in virtual time, gateways and engines that end as they begin to
// answer requests with certain parts in their prompts. No two requests are alike. Each has
// the first part of its service, a part of its subject and sometimes one of its session.
type partSimulation struct {
	partScenario
	rand     *rand.Rand
	now      time.Time
	events   simEvents
	gateways []*partGateway
	engines  []*partEngine
	stored   []wardturn.RecordedCrash
	bad      map[wardturn.ContentID]*badPart
	result   partResult
	started  time.Time
	requests int
}

// partScenario is what happens in a simulation.
type partScenario struct {
	name      string
	engines   int
	gateways  int
	bad       []badTraffic
	storeOnly int           // gateways that hear the others through the store only
	lateStart time.Duration // when the last gateway starts; zero: with the others
	crashes   float64       // ends of engines for other reasons, per second
	outage    time.Duration // when all engines end within 300 ms; zero: never
	rolling   time.Duration // from when on all engines end in turn, within 5 s; zero: never
	surge     time.Duration // when a subject that was never asked for becomes frequent; zero: never
	noRefusal bool          // for comparison
}

// badTraffic is a kind of request that ends engines.
type badTraffic struct {
	parts     []string // after the first part; the first of them is the bad one
	rate      float64  // per second
	companion float64  // rate of sound requests with all parts but the bad one, per second
	from      time.Duration
	turnsBad  bool // sound requests come with the part, at the same rate, until from
}

type badPart struct {
	ends  int
	fifth time.Time
	late  int
}

type partResult struct {
	ends     int // engines ended by bad parts
	late     int // largest number of late sends of a bad part
	others   int // other requests
	refused  int // of these, refused for a part
	settled  int // other requests from 6 s after the fifth end of each bad part on
	denied   int // of these, refused for a part
	messages int
}

type partGateway struct {
	number    int
	tracker   *decide.PartTracker
	storeOnly bool
	running   bool
	read      int // stored records read
}

type partEngine struct {
	number   int
	restarts int
	up       bool
	runs     map[*partRequest]bool
}

func (e *partEngine) id() wardturn.UpstreamID {
	return wardturn.UpstreamID(fmt.Sprintf("e%d-%d", e.number, e.restarts))
}

type partRequest struct {
	number  int
	parts   []wardturn.ContentID
	fatal   *badPart
	gateway *partGateway
	began   bool
	retries int
}

const (
	partSimDuration  = 60 * time.Second
	partRateByEngine = 6    // sound requests per second and engine
	partSubjects     = 3000 // of which the most frequent one has a tenth of all requests
	partFatalTime    = 80 * time.Millisecond
)

func (s *partSimulation) after(d time.Duration, f func()) {
	heap.Push(&s.events, simEvent{
		at: s.now.Add(d),
		do: f,
	})
}

func (s *partSimulation) every(rate float64, f func()) {
	s.after(time.Duration(s.rand.ExpFloat64()*float64(time.Second)/rate), func() {
		f()
		s.every(rate, f)
	})
}

func runPartSimulation(scenario partScenario, seed uint64) partResult {
	s := &partSimulation{
		partScenario: scenario,
		rand:         rand.New(rand.NewPCG(seed, 7)),
		now:          time.Unix(1_000_000, 0),
		bad:          make(map[wardturn.ContentID]*badPart),
	}
	s.started = s.now
	for i := range scenario.gateways {
		s.gateways = append(s.gateways, &partGateway{
			number: i,
			tracker: decide.NewPartTracker(decide.CrashConfig{
				Limit:  3,
				Memory: time.Hour,
			}),
			storeOnly: i < scenario.storeOnly,
			running:   i < scenario.gateways-1 || scenario.lateStart == 0,
		})
	}
	for i := range scenario.engines {
		s.engines = append(s.engines, &partEngine{
			number: i,
			up:     true,
			runs:   make(map[*partRequest]bool),
		})
	}
	s.schedule()
	until := s.now.Add(partSimDuration)
	for s.now.Before(until) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	for _, b := range s.bad {
		s.result.late = max(s.result.late, b.late)
	}
	return s.result
}

func partID(name string) wardturn.ContentID {
	return wardturn.PromptPartID("llm", name)
}

func (s *partSimulation) schedule() {
	s.every(float64(partRateByEngine*len(s.engines)), s.sendSound)
	for _, b := range s.partScenario.bad {
		s.scheduleBad(b)
	}
	if s.crashes > 0 {
		s.every(s.crashes, func() {
			s.end(s.engines[s.rand.IntN(len(s.engines))])
		})
	}
	for i, e := range s.engines {
		if s.outage > 0 {
			s.after(s.outage+time.Duration(s.rand.IntN(300))*time.Millisecond, func() {
				s.end(e)
			})
		}
		if s.rolling > 0 {
			s.after(s.rolling+5*time.Second*time.Duration(i)/time.Duration(len(s.engines)), func() {
				s.end(e)
			})
		}
	}
	if s.surge > 0 {
		s.after(s.surge, func() {
			s.every(5, func() {
				s.send(s.newRequest("surge"))
			})
		})
	}
	for _, g := range s.gateways {
		s.every(4, func() {
			s.share(g, g.tracker.CountHeld(s.now))
		})
		if !g.running {
			s.after(s.lateStart, func() {
				g.running = true
				s.readStore(g)
			})
		}
		s.every(0.8, func() {
			if g.running {
				s.readStore(g)
			}
		})
	}
}

func (s *partSimulation) scheduleBad(b badTraffic) {
	bad := &badPart{}
	s.bad[partID(b.parts[0])] = bad
	if b.turnsBad {
		s.every(b.rate, func() {
			if s.now.Sub(s.started) < b.from {
				s.send(s.newRequest(b.parts...))
			}
		})
	}
	s.after(b.from, func() {
		s.every(b.rate, func() {
			r := s.newRequest(b.parts...)
			r.fatal = bad
			s.send(r)
		})
	})
	if b.companion > 0 {
		s.every(b.companion, func() {
			s.send(s.newRequest(b.parts[1:]...))
		})
	}
}

func (s *partSimulation) newRequest(parts ...string) *partRequest {
	s.requests++
	r := &partRequest{
		number:  s.requests,
		parts:   []wardturn.ContentID{partID("first")},
		retries: s.rand.IntN(2),
	}
	for _, p := range parts {
		r.parts = append(r.parts, partID(p))
	}
	return r
}

func (s *partSimulation) sendSound() {
	x := s.rand.Float64()
	parts := []string{fmt.Sprint("subject", int(partSubjects*x*x*x))}
	if s.rand.IntN(3) == 0 {
		parts = append(parts, fmt.Sprint("session", s.rand.IntN(20*len(s.engines))))
	}
	s.send(s.newRequest(parts...))
}

func (s *partSimulation) readStore(g *partGateway) {
	g.tracker.AddRecorded(s.now, s.stored[g.read:])
	g.read = len(s.stored)
	g.tracker.Sweep(s.now)
	g.tracker.Update(s.now)
}

// settled reports whether all bad parts have had the time to be found.
func (s *partSimulation) settled() bool {
	for _, b := range s.bad {
		if b.ends < 5 || s.now.Sub(b.fifth) < 6*time.Second {
			return false
		}
	}
	return true
}

// send sends a request through any gateway to any engine.
func (s *partSimulation) send(r *partRequest) {
	for r.gateway = nil; r.gateway == nil || !r.gateway.running; {
		r.gateway = s.gateways[s.rand.IntN(len(s.gateways))]
	}
	if r.fatal == nil {
		s.result.others++
		if s.settled() {
			s.result.settled++
		}
	}
	g := r.gateway
	g.tracker.CountRequest(r.parts)
	d := g.tracker.Decide(s.now, r.parts)
	if s.noRefusal {
		d = decide.PartDecision{}
	}
	if d.Refused != "" && (!d.Trial || g.storeOnly) {
		s.refuse(r)
		return
	}
	e := s.engine()
	if e == nil {
		return
	}
	if d.Trial {
		g.tracker.StartTrial(s.now, d.Refused)
		s.tell(g, func(to *partGateway) {
			to.tracker.StartTrial(s.now, d.Refused)
		})
	}
	if b := r.fatal; b != nil && b.ends >= 5 && s.now.Sub(b.fifth) > 3*time.Second && !g.storeOnly {
		b.late++
	}
	e.runs[r] = true
	r.began = false
	s.run(e, r)
}

func (s *partSimulation) refuse(r *partRequest) {
	if r.fatal != nil {
		return
	}
	s.result.refused++
	if s.settled() {
		s.result.denied++
	}
}

func (s *partSimulation) engine() *partEngine {
	first := s.rand.IntN(len(s.engines))
	for i := range s.engines {
		if e := s.engines[(first+i)%len(s.engines)]; e.up {
			return e
		}
	}
	return nil
}

// run has an engine end under a request, or begin to answer it and answer it.
func (s *partSimulation) run(e *partEngine, r *partRequest) {
	if r.fatal != nil {
		s.after(partFatalTime, func() {
			if !e.runs[r] {
				return
			}
			s.result.ends++
			if r.fatal.ends++; r.fatal.ends == 5 {
				r.fatal.fifth = s.now
			}
			s.end(e)
		})
		return
	}
	s.after(time.Duration(30+s.rand.ExpFloat64()*200)*time.Millisecond, func() {
		if !e.runs[r] {
			return
		}
		r.began = true
		s.answered(r)
		s.after(time.Second, func() {
			delete(e.runs, r)
		})
	})
}

// answered clears the parts of a request.
func (s *partSimulation) answered(r *partRequest) {
	if cleared := r.gateway.tracker.Answered(s.now, r.parts); len(cleared) > 0 {
		r.gateway.tracker.Update(s.now)
		s.clear(r.gateway, cleared)
	}
}

func (s *partSimulation) clear(from *partGateway, parts []wardturn.ContentID) {
	s.stored = slices.DeleteFunc(s.stored, func(c wardturn.RecordedCrash) bool {
		return slices.Contains(parts, c.Content)
	})
	for _, g := range s.gateways {
		g.read = min(g.read, len(s.stored)) // records are idempotent
	}
	s.tell(from, func(to *partGateway) {
		to.tracker.ClearReported(s.now, parts)
		to.tracker.Update(s.now)
	})
}

// tell sends a message to all gateways, each of which gets it twice, from two keepers.
func (s *partSimulation) tell(from *partGateway, handle func(*partGateway)) {
	if from.storeOnly {
		return
	}
	for _, g := range s.gateways {
		if g == from || g.storeOnly || !g.running {
			continue
		}
		s.result.messages++
		for range 2 {
			s.after(time.Duration(3+s.rand.IntN(15))*time.Millisecond, func() {
				handle(g)
			})
		}
	}
}

// end ends an engine and cuts off its requests.
func (s *partSimulation) end(e *partEngine) {
	if !e.up {
		return
	}
	e.up = false
	id := e.id()
	cut := make([]*partRequest, 0, len(e.runs))
	for r := range e.runs {
		cut = append(cut, r)
	}
	slices.SortFunc(cut, func(x, y *partRequest) int {
		return x.number - y.number
	})
	clear(e.runs)
	affected := make(map[*partGateway]bool)
	for _, r := range cut {
		if !r.began {
			r.gateway.tracker.RequestBroke(s.now, r.parts, id)
		}
		affected[r.gateway] = true
		if r.fatal == nil && r.retries > 0 {
			r.retries--
			s.after(time.Duration(10+s.rand.IntN(300))*time.Millisecond, func() {
				s.send(r)
			})
		}
	}
	for _, g := range s.gateways {
		if affected[g] {
			s.after(20*time.Millisecond, func() {
				s.share(g, g.tracker.UpstreamEnded(s.now, id))
			})
		}
	}
	s.after(3300*time.Millisecond, func() {
		e.restarts++
		e.up = true
	})
}

// updateLater has a gateway update its refusals once all gateways have reported.
func (s *partSimulation) updateLater(g *partGateway) {
	s.after(100*time.Millisecond, func() {
		g.tracker.Update(s.now)
	})
}

// share sends new crashes from a gateway to the others and records those that are due.
func (s *partSimulation) share(from *partGateway, fresh []wardturn.Crash) {
	if len(fresh) == 0 {
		return
	}
	s.updateLater(from)
	s.tell(from, func(to *partGateway) {
		reported := s.now
		answered := to.tracker.AddReported(s.now, fresh)
		s.updateLater(to)
		if len(answered) > 0 {
			s.after(time.Duration(s.rand.IntN(200))*time.Millisecond, func() {
				answered = slices.DeleteFunc(answered, func(id wardturn.ContentID) bool {
					return to.tracker.ClearedSince(reported, id)
				})
				if len(answered) > 0 {
					s.clear(to, answered)
				}
			})
		}
	})
	s.after(50*time.Millisecond, func() {
		crashes, deletes := from.tracker.PendingWrites(s.now, from.storeOnly)
		for _, c := range crashes {
			s.stored = append(s.stored, wardturn.RecordedCrash{
				Crash: c,
				At:    s.now,
			})
		}
		from.tracker.Written(crashes, deletes)
	})
}

// With the parts of prompts counted, a part that crashes engines is refused in time and few
// other requests are, whatever happens beside it.
func TestCrashingParts(t *testing.T) {
	one := []badTraffic{{parts: []string{"bad"}, rate: 4, from: 5 * time.Second}}
	scenarios := []partScenario{
		{name: "none refused", engines: 12, gateways: 4, bad: one, noRefusal: true},
		{name: "one bad part", engines: 12, gateways: 4, bad: one},
		{name: "one bad part, 12 a second", engines: 12, gateways: 4, bad: []badTraffic{{parts: []string{"bad"}, rate: 12, from: 5 * time.Second}}},
		{name: "one bad part, rare", engines: 12, gateways: 4, bad: []badTraffic{{parts: []string{"bad"}, rate: 0.7, from: 5 * time.Second}}},
		{name: "two bad parts", engines: 12, gateways: 4, bad: []badTraffic{
			{parts: []string{"bad"}, rate: 3, from: 5 * time.Second},
			{parts: []string{"worse"}, rate: 3, from: 6 * time.Second},
		}},
		{name: "two bad parts in one prompt", engines: 12, gateways: 4, bad: []badTraffic{
			{parts: []string{"bad", "worse"}, rate: 3, from: 5 * time.Second},
			{parts: []string{"worse"}, rate: 1, from: 5 * time.Second},
		}},
		{name: "with a rare sound part", engines: 12, gateways: 4, bad: []badTraffic{{parts: []string{"bad", "rare"}, rate: 4, companion: 0.5, from: 5 * time.Second}}},
		{name: "other ends beside it", engines: 12, gateways: 4, bad: one, crashes: 0.5},
		{name: "all engines end at once", engines: 12, gateways: 4, bad: one, outage: 8 * time.Second},
		{name: "all engines end in turn", engines: 12, gateways: 4, bad: one, rolling: 7 * time.Second},
		{name: "a rare part becomes frequent", engines: 12, gateways: 4, bad: one, surge: 6 * time.Second},
		{name: "a frequent part turns bad", engines: 12, gateways: 4, bad: []badTraffic{{parts: []string{"bad"}, rate: 8, from: 10 * time.Second, turnsBad: true}}},
		{name: "a gateway without messages", engines: 12, gateways: 4, bad: one, storeOnly: 1},
		{name: "a gateway that starts", engines: 12, gateways: 4, bad: one, lateStart: 20 * time.Second},
		{name: "two bad parts, four engines", engines: 4, gateways: 4, bad: []badTraffic{
			{parts: []string{"bad"}, rate: 4, from: 5 * time.Second},
			{parts: []string{"worse"}, rate: 4, from: 5 * time.Second},
		}},
		{name: "no bad part, other ends", engines: 12, gateways: 4, crashes: 1, outage: 20 * time.Second, rolling: 40 * time.Second},
		{name: "120 engines", engines: 120, gateways: 12, bad: []badTraffic{{parts: []string{"bad"}, rate: 8, from: 5 * time.Second}}, crashes: 1, outage: 30 * time.Second},
	}
	for _, scenario := range scenarios {
		t.Run(strings.ReplaceAll(scenario.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			seeds := uint64(5)
			if scenario.engines > 12 {
				seeds = 2
			}
			var all partResult
			for seed := range seeds {
				r := runPartSimulation(scenario, seed)
				all.ends += r.ends
				all.late = max(all.late, r.late)
				all.others += r.others
				all.refused += r.refused
				all.settled += r.settled
				all.denied += r.denied
				all.messages += r.messages
			}
			t.Logf("%-30s engines ended %4d, late sends at most %3d, others refused %5d of %d, later %d of %d, messages %d", scenario.name, all.ends, all.late, all.refused, all.others, all.denied, all.settled, all.messages)
			if scenario.noRefusal {
				if all.late <= 3 {
					t.Error("the simulation does not show the fault")
				}
				return
			}
			if all.late > 3 {
				t.Errorf("%d late sends of a part, at most 3 are allowed", all.late)
			}
			if 2*all.denied > all.settled {
				t.Errorf("%d of %d other requests refused from 6 s after the fifth end on, half are allowed", all.denied, all.settled)
			}
		})
	}
}
