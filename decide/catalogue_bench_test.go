package decide_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// BenchmarkCatalogue serves requests of a gateway whose 2,100 engines hold 16 adapters each of
// a catalogue, which leaves 11,400 of 45,000 held nowhere. The metric MB is the memory of the
// gateway's view after each engine has held 24 adapters in turn.
func BenchmarkCatalogue(b *testing.B) {
	const (
		engines = 2100
		slots   = 16
	)
	for _, adapters := range []int{3000, 45000} {
		name := func(i int) string {
			return fmt.Sprint("a", i%adapters)
		}
		newFleet := func() *emptyFleet {
			x := newEmptyFleet(engines)
			for e := range engines {
				u := decide.EngineUpdate{}
				for s := range slots {
					u.Adapters = append(u.Adapters, readyAdapter(name(e*slots+s), 1))
				}
				x.applyUpdate(wardturn.UpstreamID(fmt.Sprint("e", e)), u)
			}
			return x
		}
		b.Run(fmt.Sprint("held/", adapters), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			x := newFleet()
			for e := range engines {
				x.rotate(wardturn.UpstreamID(fmt.Sprint("e", e)), func(i int) string {
					return name(engines*slots + e*slots/2 + i)
				}, slots/2)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				x.now = x.now.Add(time.Millisecond)
				x.admitHeld(name(i % (engines * slots)))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
		if adapters <= engines*slots {
			continue // all are held
		}
		b.Run(fmt.Sprint("missing/", adapters), func(b *testing.B) {
			x := newFleet()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				x.now = x.now.Add(time.Millisecond)
				x.serveMissing(name(engines*slots + i%(adapters-engines*slots)))
			}
		})
	}
}

// rotate has an engine hold n more adapters and unload them again.
func (x *emptyFleet) rotate(id wardturn.UpstreamID, name func(i int) string, n int) {
	var loaded, unloaded decide.EngineUpdate
	for i := range n {
		loaded.Adapters = append(loaded.Adapters, readyAdapter(name(i), 1))
		unloaded.Unloaded = append(unloaded.Unloaded, adapterKey(name(i)))
	}
	x.applyUpdate(id, loaded)
	x.applyUpdate(id, unloaded)
}

// serveMissing serves a request for an adapter that no engine holds: an engine is asked to
// load it and unloads it afterwards.
func (x *emptyFleet) serveMissing(name string) {
	var out decide.Actions
	var at wardturn.UpstreamID
	x.f.Admit(x.now, &decide.PendingRequest{
		Service:   fleetService,
		Key:       adapterKey(name),
		Arrived:   x.now,
		Objective: time.Second,
		Deadline:  x.now.Add(time.Second),
		Assign: func(a decide.Assignment) {
			at = a.Member.ID
		},
	}, &out)
	if len(out.LoadRequests) != 1 {
		panic("no load was requested")
	}
	home := out.LoadRequests[0].Upstream
	x.applyUpdate(home, decide.EngineUpdate{
		Adapters: []decide.HeldVersion{readyAdapter(name, 1)},
	})
	x.f.RequestEnded(x.now, at, adapterKey(name), decide.OutcomeOK)
	x.applyUpdate(home, decide.EngineUpdate{
		Unloaded: []wardturn.ModelAdapter{adapterKey(name)},
	})
}
