package decide_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

// memoryEngine is an engine that counts what its memory holds.
type memoryEngine struct {
	t       *testing.T
	spec    wardturn.EngineSpec
	model   wardturn.BaseModel
	held    map[wardturn.AdapterID]wardturn.Version
	loading map[wardturn.AdapterID]time.Time // when the load ends
	targets map[wardturn.AdapterID]wardturn.Version
	checked bool // orders are checked against the memory
}

const memoryLoadTime = 250 * time.Millisecond

func newMemoryEngine(t *testing.T, spec wardturn.EngineSpec) *memoryEngine {
	return &memoryEngine{
		t:       t,
		spec:    spec,
		model:   spec.Models[0].Name,
		held:    make(map[wardturn.AdapterID]wardturn.Version),
		loading: make(map[wardturn.AdapterID]time.Time),
		targets: make(map[wardturn.AdapterID]wardturn.Version),
		checked: true,
	}
}

// count returns the number of adapters that are held or being loaded; one that is being replaced
// counts once.
func (e *memoryEngine) count() int {
	n := len(e.held)
	for a := range e.loading {
		if _, replaced := e.held[a]; !replaced {
			n++
		}
	}
	return n
}

// used returns the memory in use.
func (e *memoryEngine) used() wardturn.Megabytes {
	m := e.spec.Models[0]
	return m.Weights + wardturn.Megabytes(e.count())*m.AdapterSize
}

func (e *memoryEngine) execute(now time.Time, o decide.PlacementOrder) {
	a := o.Target.Adapter
	if o.Unload {
		delete(e.held, a)
		return
	}
	e.loading[a] = now.Add(memoryLoadTime)
	e.targets[a] = o.Version
	if !e.checked {
		return
	}
	if e.used() > e.spec.Memory {
		e.t.Fatalf("ordered to load %s: %d adapters take %.1f MB of %.1f", a, e.count(), e.used(), e.spec.Memory)
	}
	if e.count() > e.spec.AdapterSlots {
		e.t.Fatalf("ordered to load %s: %d adapters in %d slots", a, e.count(), e.spec.AdapterSlots)
	}
}

func (e *memoryEngine) report(now time.Time) wardturn.EngineState {
	loaded := wardturn.LoadedModel{
		Name: e.model,
	}
	st := wardturn.EngineState{}
	for a, at := range e.loading {
		if !now.Before(at) {
			e.held[a] = e.targets[a]
			delete(e.loading, a)
			continue
		}
		st.Loading = append(st.Loading, e.version(a, e.targets[a]))
	}
	for a, v := range e.held {
		loaded.Adapters = append(loaded.Adapters, e.version(a, v))
	}
	st.Models = []wardturn.LoadedModel{loaded}
	return st
}

func (e *memoryEngine) version(a wardturn.AdapterID, v wardturn.Version) wardturn.AdapterVersion {
	return wardturn.AdapterVersion{
		Model:   e.model,
		Adapter: a,
		Version: v,
	}
}

// memoryRig is a placement with its engine in virtual time.
type memoryRig struct {
	now    time.Time
	p      *decide.Placement
	engine *memoryEngine
}

func newMemoryRig(t *testing.T, spec wardturn.EngineSpec) *memoryRig {
	r := &memoryRig{
		now:    time.Unix(1000, 0),
		engine: newMemoryEngine(t, spec),
	}
	r.p = decide.NewPlacement(r.now, policy.Default{})
	r.p.SetSpec(spec)
	return r
}

// run repeats the load requests for adapters and executes the orders for a time.
func (r *memoryRig) run(d time.Duration, wanted ...wardturn.AdapterVersion) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		for _, a := range wanted {
			r.p.RequestLoad(r.now, "g1", a, 1, 0)
		}
		r.p.Report(r.now, r.engine.report(r.now))
		if o, ok := r.p.Next(r.now); ok {
			r.engine.execute(r.now, o)
		}
	}
}

func memorySpec(memory, weights, size wardturn.Megabytes, slots int) wardturn.EngineSpec {
	return wardturn.EngineSpec{
		AdapterSlots: slots,
		Memory:       memory,
		Models: []wardturn.ModelSpec{
			{
				Name:        "m",
				Weights:     weights,
				AdapterSize: size,
			},
		},
	}
}

// Guards against an engine that falls because it is ordered to load more than its memory holds.
func TestLoadsBeyondEngineMemory(t *testing.T) {
	for _, c := range []struct {
		name  string
		spec  wardturn.EngineSpec
		holds int
	}{
		{
			name:  "memory for fewer than the slots",
			spec:  memorySpec(66600, 65100, 100, 18),
			holds: 15,
		},
		{
			name:  "slots for fewer than the memory",
			spec:  memorySpec(66600, 65100, 12, 18),
			holds: 18,
		},
		{
			name:  "memory that the last one fills",
			spec:  memorySpec(1000, 700, 100, 8),
			holds: 3,
		},
		{
			name:  "fractions of a megabyte",
			spec:  memorySpec(101.5, 100, 0.4, 8),
			holds: 3,
		},
		{
			name:  "memory for the model only",
			spec:  memorySpec(1000, 950, 100, 8),
			holds: 0,
		},
		{
			name:  "sizes not stated",
			spec:  memorySpec(0, 0, 0, 8),
			holds: 8,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newMemoryRig(t, c.spec)
			if c.spec.Memory == 0 {
				r.engine.checked = false
			}
			var wanted []wardturn.AdapterVersion
			for i := range 30 {
				wanted = append(wanted, r.engine.version(wardturn.AdapterID(fmt.Sprint("a", i)), 1))
			}
			r.run(3*time.Second, wanted...)
			if len(r.engine.held) != c.holds {
				t.Errorf("%d adapters held, want %d", len(r.engine.held), c.holds)
			}
		})
	}
}

// Guards against requests that wait in vain at an engine whose memory is full.
func TestFullEngineMemoryStillServes(t *testing.T) {
	r := newMemoryRig(t, memorySpec(1000, 700, 100, 8))
	for i := range 12 {
		a := r.engine.version(wardturn.AdapterID(fmt.Sprint("a", i)), 1)
		r.run(900*time.Millisecond, a)
		if r.engine.held[a.Adapter] != 1 {
			t.Errorf("%s was not loaded in place of an idle one", a.Adapter)
		}
	}
	newer := r.engine.version("a11", 2)
	r.run(900*time.Millisecond, newer)
	if got := r.engine.held["a11"]; got != 2 {
		t.Errorf("version %d held, want the newer one", got)
	}
}

// Guards against orders beyond the memory while sizes change under an engine that holds adapters.
func TestLoadsBeyondChangedEngineMemory(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		spec := memorySpec(1000, 700, 30, 8)
		r := newMemoryRig(t, spec)
		for range 12 {
			spec.Models = []wardturn.ModelSpec{
				{
					Name:        "m",
					Weights:     700,
					AdapterSize: wardturn.Megabytes(10 + rnd.IntN(140)),
				},
			}
			r.engine.spec = spec
			r.p.SetSpec(spec)
			var wanted []wardturn.AdapterVersion
			for range 6 {
				wanted = append(wanted, r.engine.version(wardturn.AdapterID(fmt.Sprint("a", rnd.IntN(14))), wardturn.Version(1+rnd.IntN(3))))
			}
			r.run(time.Duration(rnd.IntN(1500))*time.Millisecond, wanted...)
		}
	}
}

// Guards against gateways that send adapters to engines whose memory has no place for them.
func TestFreeSlotsWithinEngineMemory(t *testing.T) {
	r := newMemoryRig(t, memorySpec(1000, 700, 100, 8))
	r.run(time.Second, r.engine.version("a1", 1), r.engine.version("a2", 1))
	for _, key := range []wardturn.AdapterID{"a1", "a2"} {
		r.p.ReportUse(r.now, "g1", wardturn.ModelAdapter{
			Model:   "m",
			Adapter: key,
		}, 1, 1)
	}
	r.p.Report(r.now, r.engine.report(r.now))
	if got := r.p.FreeSlots(r.now.Add(time.Second)); got != 1 {
		t.Errorf("%d free slots, want 1: the memory has place for one more", got)
	}
}
