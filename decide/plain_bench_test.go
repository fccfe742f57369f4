package decide_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// plainBench is the fleet of one of many gateways of a plain service.
type plainBench struct {
	f     *decide.Fleet
	p     *decide.PlainLoads
	now   time.Time
	seq   uint64
	r     decide.PendingRequest
	out   decide.Actions
	other []wardturn.Incarnation
}

func newPlainBench(gateways, upstreams int) *plainBench {
	x := &plainBench{
		p:   decide.NewPlainLoads(start, "self"),
		now: start,
	}
	x.f = decide.NewFleet(decide.FleetConfig{
		Domain: "d0",
		Plain:  x.p,
	})
	x.f.SetTable(&wardturn.RouteTable{
		Services: map[wardturn.ServiceName]wardturn.ServiceSpec{
			replayService: {
				Name: replayService,
			},
		},
	})
	x.f.SetMembers(start, plainBenchMembers(upstreams))
	for i := range gateways - 1 {
		x.other = append(x.other, wardturn.Incarnation(fmt.Sprintf("%016x", i)))
	}
	x.r = decide.PendingRequest{
		Service:   replayService,
		Objective: replayObjective,
		Content:   "0123456789abcdef0123456789abcdef",
		Urgency: decide.Urgency{
			Rank: 2,
		},
		Assign: func(a decide.Assignment) {
			if a.Member.ID != "" {
				x.f.ResponseTimed(x.now, a.Member.ID, replayMeanTime)
				x.f.RequestEnded(x.now, a.Member.ID, wardturn.ModelAdapter{}, decide.OutcomeOK)
			}
		},
	}
	x.receive()
	x.receive()
	return x
}

func plainBenchMembers(n int) []wardturn.Member {
	list := make([]wardturn.Member, 0, n)
	for i := range n {
		list = append(list, wardturn.Member{
			ID:      wardturn.UpstreamID(fmt.Sprint("u", i)),
			Service: replayService,
			Addr:    fmt.Sprint("u", i, ":1"),
			Domain:  wardturn.FailureDomain(fmt.Sprint("d", i%3)),
			Slots:   replaySlots,
		})
	}
	return list
}

// receive has all other gateways report.
func (x *plainBench) receive() {
	x.seq++
	for _, id := range x.other {
		x.p.Receive(x.now, x.report(id))
	}
}

func (x *plainBench) report(id wardturn.Incarnation) decide.PlainLoadReport {
	return decide.PlainLoadReport{
		Process:    id,
		Seq:        x.seq,
		IntervalMS: 100_000,
		Services: []decide.PlainServiceLoad{
			{
				Service: replayService,
				Demand: []decide.PlainDemand{
					{
						Class: 4,
						Rate:  0.25,
					},
				},
				Upstreams: []decide.PlainUpstreamLoad{
					{
						Upstream:       decide.PlainDigest("u0"),
						Responses:      uint32(x.seq),
						ResponseTimeMS: uint32(60 * x.seq),
					},
				},
			},
		},
	}
}

// BenchmarkPlainAdmit admits a request every 10 ms, with the work that the passing time
// causes.
func BenchmarkPlainAdmit(b *testing.B) {
	for _, gateways := range []int{29, 120, 470} {
		for _, upstreams := range []int{3, 30} {
			b.Run(fmt.Sprint(gateways, "gateways/", upstreams, "upstreams"), func(b *testing.B) {
				x := newPlainBench(gateways, upstreams)
				b.ReportAllocs()
				for b.Loop() {
					x.now = x.now.Add(10 * time.Millisecond)
					x.r.Arrived = x.now
					x.r.Deadline = x.now.Add(replayHold)
					x.f.Admit(x.now, &x.r, &x.out)
				}
			})
		}
	}
}

// BenchmarkPlainReceive receives one report of another gateway.
func BenchmarkPlainReceive(b *testing.B) {
	for _, gateways := range []int{29, 120, 470} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			x := newPlainBench(gateways, 3)
			i := 0
			r := x.report(x.other[0])
			b.ReportAllocs()
			for b.Loop() {
				if i%len(x.other) == 0 {
					r.Seq++
				}
				r.Process = x.other[i%len(x.other)]
				x.p.Receive(x.now, r)
				i++
			}
		})
	}
}
