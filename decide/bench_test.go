package decide_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

const benchAdapters = 45_000

func benchRefs() []wardturn.AdapterRef {
	refs := make([]wardturn.AdapterRef, benchAdapters)
	for i := range refs {
		refs[i] = wardturn.AdapterRef{
			Adapter: wardturn.AdapterID(fmt.Sprintf("a%05d", i)),
			Version: 1,
		}
	}
	return refs
}

// BenchmarkPick routes a request and records its end, for cold adapters, which the router
// has not sent anywhere recently, and for warm ones.
func BenchmarkPick(b *testing.B) {
	refs := benchRefs()
	for _, upstreams := range []int{18, 2100} {
		for _, c := range []struct {
			name string
			step int
			of   int
		}{
			{"cold", 7919, benchAdapters},
			{"warm", 1, 1000},
		} {
			b.Run(fmt.Sprintf("%d/%s", upstreams, c.name), func(b *testing.B) {
				r := decide.NewRouter(decide.RouterConfig{
					Region: "r",
				})
				var hosts []wardturn.Host
				for i := range upstreams {
					hosts = append(hosts, wardturn.Host{
						Upstream: wardturn.UpstreamID(fmt.Sprintf("u%04d", i)),
						Region:   "r",
					})
				}
				r.SetHosts(hosts)
				now := start
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					i++
					now = now.Add(time.Millisecond)
					id, _ := r.Pick(now, decide.RouteRequest{
						Adapter: refs[(i*c.step)%c.of],
					})
					r.RequestSent(id)
					r.RequestEnded(now, id, true)
				}
			})
		}
	}
}

// BenchmarkAdmit passes a request through an agent whose adapter is ready.
func BenchmarkAdmit(b *testing.B) {
	now := start
	a := decide.NewAgent(now, decide.AgentConfig{
		Upstream:   "u",
		Slots:      8,
		MaxRunning: 16,
	}, policy.Default{}, decide.NewStaticPermits(decide.StoreLimit{
		Rate:     1e6,
		Parallel: 1,
	}, 1))
	var out decide.Orders
	ref := benchRefs()[0]
	a.Report(now, wardturn.EngineReport{
		At: now,
		Resident: []wardturn.ResidentAdapter{{
			Adapter: ref,
		}},
	}, &out)
	seq := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		now = now.Add(time.Millisecond)
		id := wardturn.AttemptID{
			Entry: "e",
			Seq:   seq,
		}
		out.Reset()
		a.Admit(now, decide.Work{
			Attempt: id,
			Adapter: ref,
		}, &out)
		a.Finished(now, id, &out)
	}
}
