package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

const usualLoad = 250 * time.Millisecond

// store simulates a weight store that serves parallel concurrent loads at full speed.
// Beyond that, loads take longer in proportion to their number.
type store struct {
	parallel int
}

// load returns the duration of a load while n are in flight.
func (s store) load(n int) time.Duration {
	return usualLoad * time.Duration(max(n, s.parallel)) / time.Duration(s.parallel)
}

var _ = Describe("LoadWindow", func() {
	// use runs rounds of as many concurrent loads as the window allows.
	use := func(w *decide.LoadWindow, s store, now time.Time, rounds int) time.Time {
		for range rounds {
			n := w.Size()
			d := s.load(n)
			now = now.Add(d)
			for range n {
				w.ObserveLoad(now, d, n)
			}
		}
		return now
	}

	It("starts from the size that earlier processes learned, if that is larger, until loads are observed", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{})
		w.Restore(104)
		w.SetEngineCount(47)
		Expect(w.Size()).To(Equal(104))
		_, learned := w.Learned()
		Expect(learned).To(BeFalse())
		less := decide.NewLoadWindow(decide.WindowConfig{})
		less.SetEngineCount(47)
		less.Restore(5)
		Expect(less.Size()).To(Equal(23))
		now := start
		for range 60 {
			now = now.Add(time.Second)
			w.ObserveLoad(now, 2*time.Second, 104)
		}
		size, learned := w.Learned()
		Expect(learned).To(BeTrue())
		Expect(size).To(BeNumerically("<", 104))
	})

	It("settles near the store's capacity at full speed, small or large", func() {
		for _, parallel := range []int{8, 16, 88, 300} {
			w := decide.NewLoadWindow(decide.WindowConfig{})
			use(&w, store{parallel: parallel}, start, 60)
			Expect(w.Size()).To(BeNumerically(">=", parallel*8/10), fmt.Sprint(parallel))
			Expect(w.Size()).To(BeNumerically("<=", parallel*16/10), fmt.Sprint(parallel))
		}
	})

	It("starts at a size for the number of engines and shrinks to the store's capacity", func() {
		for _, tc := range []struct{ engines, parallel int }{{74, 72}, {48, 16}, {12, 8}, {50, 88}} {
			w := decide.NewLoadWindow(decide.WindowConfig{})
			w.SetEngineCount(tc.engines)
			now := use(&w, store{parallel: tc.parallel}, start, 2)
			Expect(w.Size()).To(BeNumerically(">=", min(tc.engines, tc.parallel)*9/10), fmt.Sprint(tc))
			use(&w, store{parallel: tc.parallel}, now, 20)
			Expect(w.Size()).To(BeNumerically("<=", tc.parallel*16/10), fmt.Sprint(tc))
		}
	})

	It("keeps its learned size when engines are added", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{})
		use(&w, store{parallel: 8}, start, 20)
		size := w.Size()
		w.SetEngineCount(100)
		Expect(w.Size()).To(Equal(size))
	})

	It("follows a store whose capacity falls and rises again", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{})
		now := use(&w, store{parallel: 64}, start, 40)
		now = use(&w, store{parallel: 16}, now, 40)
		Expect(w.Size()).To(BeNumerically("<=", 24))
		use(&w, store{parallel: 64}, now, 200)
		Expect(w.Size()).To(BeNumerically(">=", 50))
	})

	It("shrinks while loads are slow and grows while they are fast", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{
			Start: 10,
			Max:   12,
		})
		now := start
		for range 20 {
			now = now.Add(usualLoad)
			w.ObserveLoad(now, usualLoad, 10)
		}
		for range 20 {
			now = now.Add(time.Second)
			w.ObserveLoad(now, time.Second, 10)
		}
		Expect(w.Size()).To(BeNumerically("<", 5))
		for range 200 {
			w.ObserveLoad(now, usualLoad, 10)
		}
		Expect(w.Size()).To(Equal(12))
	})

	It("does not shrink for single slow loads", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{
			Start: 10,
			Max:   12,
		})
		now := start
		for i := range 60 {
			now = now.Add(time.Second)
			d := usualLoad
			if i%4 == 0 {
				d = 5 * time.Second
			}
			w.ObserveLoad(now, d, 10)
		}
		Expect(w.Size()).To(BeNumerically(">=", 10))
	})

	It("ignores loads from an engine's own memory", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{})
		now := start
		for i := range 300 {
			now = now.Add(20 * time.Millisecond)
			d := usualLoad
			if i%3 > 0 {
				d = usualLoad / 10
			}
			w.ObserveLoad(now, d, w.Size())
		}
		Expect(w.Size()).To(BeNumerically(">", 30))
		Expect(w.MedianLoadTime()).To(Equal(usualLoad))
	})

	It("learns the speed of a store that is much faster or slower than expected", func() {
		for _, d := range []time.Duration{40 * time.Millisecond, 900 * time.Millisecond} {
			w := decide.NewLoadWindow(decide.WindowConfig{})
			for i := range 60 {
				w.ObserveLoad(start.Add(time.Duration(i)*time.Second), d, w.Size())
			}
			Expect(w.MedianLoadTime()).To(Equal(d))
			Expect(w.Size()).To(BeNumerically(">", 15))
		}
	})

	It("does not grow while it is not used up", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{
			Start: 10,
		})
		for range 100 {
			w.ObserveLoad(start, usualLoad, 3)
		}
		Expect(w.Size()).To(Equal(10))
	})
})

var _ = Describe("Loads of several gateways", func() {
	It("stay within the store's capacity in total, whatever the number of gateways", func() {
		const engines = 24
		for _, gateways := range []int{1, 4, 26} {
			draws := 0
			x := newStoreSim(gateways, engines, func() float64 {
				draws++
				return float64(draws*37%100) / 100
			})
			most := x.run(store{parallel: 16}, 3*time.Second)
			Expect(most).To(BeNumerically("<=", 16+16*6/10), fmt.Sprint(gateways))
			// The store can serve at most 192.
			Expect(x.loads).To(BeNumerically(">=", 100), fmt.Sprint(gateways))
		}
	})
})

// storeSim simulates gateways that constantly request adapters which no engine holds, and
// engines that load them at the speed of one store.
type storeSim struct {
	fleets  []*decide.Fleet
	members []wardturn.Member
	now     time.Time
	// loading holds the start of each load in progress, or zero if it has not started.
	loading   map[wardturn.UpstreamID]map[wardturn.ModelAdapter]time.Time
	requested int
	loads     int
}

func newStoreSim(gateways, engines int, draw func() float64) *storeSim {
	x := &storeSim{
		now:     start,
		loading: make(map[wardturn.UpstreamID]map[wardturn.ModelAdapter]time.Time),
	}
	for i := range engines {
		id := wardturn.UpstreamID(fmt.Sprint("e", i))
		x.members = append(x.members, wardturn.Member{
			ID:      id,
			Service: fleetService,
			Addr:    string(id) + ":1",
			Domain:  "d",
			Slots:   64,
		})
		x.loading[id] = make(map[wardturn.ModelAdapter]time.Time)
	}
	for range gateways {
		f := decide.NewFleet(decide.FleetConfig{
			Domain: "d",
			Random: draw,
		})
		f.SetTable(fleetTable(&wardturn.EngineSpec{
			Batch:        64,
			AdapterSlots: 9,
		}))
		f.SetMembers(x.now, x.members)
		x.fleets = append(x.fleets, f)
	}
	for _, m := range x.members {
		x.report(m.ID, decide.EngineUpdate{
			Full: true,
		})
	}
	return x
}

func (x *storeSim) report(id wardturn.UpstreamID, u decide.EngineUpdate) {
	u.Connected = true
	u.Known = true
	u.Models = []wardturn.BaseModel{"m"}
	u.Gateways = len(x.fleets)
	for _, f := range x.fleets {
		var out decide.Actions
		f.ApplyEngineUpdate(x.now, id, u, &out)
		x.recordRequests(out)
	}
}

// recordRequests records the requested loads, which start at the next step.
func (x *storeSim) recordRequests(out decide.Actions) {
	for _, r := range out.LoadRequests {
		if _, ok := x.loading[r.Upstream][r.Adapter.Key()]; !ok {
			x.loading[r.Upstream][r.Adapter.Key()] = time.Time{}
		}
	}
}

// run advances the time by d in steps and returns the largest number of loads in flight.
func (x *storeSim) run(s store, d time.Duration) (most int) {
	const step = 10 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(step)
		for _, f := range x.fleets {
			var out decide.Actions
			x.requested++
			f.Admit(x.now, &decide.PendingRequest{
				Service:   fleetService,
				Key:       adapterKey(fmt.Sprint("a", x.requested)),
				Arrived:   x.now,
				Objective: 10 * time.Second,
				Deadline:  x.now.Add(time.Minute),
				Assign:    func(decide.Assignment) {},
			}, &out)
			f.Tick(x.now, &out)
			x.recordRequests(out)
		}
		n := 0
		for _, list := range x.loading {
			n += len(list)
		}
		most = max(most, n)
		for _, m := range x.members {
			x.advance(m.ID, s.load(n))
		}
	}
	return most
}

// advance starts an engine's requested loads, completes those that have run for the store's
// current load duration, and reports both to the gateways.
func (x *storeSim) advance(id wardturn.UpstreamID, loadTime time.Duration) {
	var u decide.EngineUpdate
	for key, began := range x.loading[id] {
		v := decide.HeldVersion{
			Adapter: adapterVersion(string(key.Adapter), 1),
		}
		switch {
		case began.IsZero():
			x.loading[id][key] = x.now
			v.Loading = true
		case x.now.Sub(began) >= loadTime:
			delete(x.loading[id], key)
			v.Ready = true
			x.loads++
		default:
			continue
		}
		u.Adapters = append(u.Adapters, v)
	}
	if len(u.Adapters) > 0 {
		x.report(id, u)
	}
}
