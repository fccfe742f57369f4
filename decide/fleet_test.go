package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Fleet", func() {
	const service = wardturn.ServiceName("llm")
	var (
		f   *decide.Fleet
		now time.Time
		got map[string]decide.Assignment
		out decide.Moves
	)

	key := func(name string) wardturn.ModelAdapter {
		return wardturn.ModelAdapter{
			Model:   "m",
			Adapter: wardturn.AdapterID(name),
		}
	}
	version := func(name string, v wardturn.Version) wardturn.AdapterVersion {
		return wardturn.AdapterVersion{
			Model:   "m",
			Adapter: wardturn.AdapterID(name),
			Version: v,
		}
	}
	table := func(engine *wardturn.EngineSpec) *wardturn.RouteTable {
		return &wardturn.RouteTable{
			Version: 1,
			Services: map[wardturn.ServiceName]wardturn.ServiceSpec{
				service: {
					Name:   service,
					Engine: engine,
				},
			},
		}
	}
	member := func(id, domain string) wardturn.Member {
		return wardturn.Member{
			ID:      wardturn.UpstreamID(id),
			Service: service,
			Addr:    id + ":1",
			Domain:  wardturn.FailureDomain(domain),
			Slots:   4,
		}
	}
	members := func() []wardturn.Member {
		return []wardturn.Member{
			member("n0", "near"),
			member("n1", "near"),
			member("f0", "far"),
			member("f1", "far"),
		}
	}
	hold := func(id string, adapters ...decide.HeldVersion) {
		f.SetHolding(now, wardturn.UpstreamID(id), decide.Holding{
			Connected: true,
			Known:     true,
			Full:      true,
			Models:    []wardturn.BaseModel{"m"},
			Adapters:  adapters,
		}, &out)
	}
	ready := func(name string, v wardturn.Version) decide.HeldVersion {
		return decide.HeldVersion{
			Adapter: version(name, v),
			Ready:   true,
		}
	}
	ticket := func(id, adapter string) *decide.Ticket {
		return &decide.Ticket{
			Service:   service,
			Key:       key(adapter),
			Arrived:   now,
			Objective: 600 * time.Millisecond,
			Deadline:  now.Add(5 * time.Second),
			Bytes:     1000,
			Assign: func(a decide.Assignment) {
				got[id] = a
			},
		}
	}
	admit := func(id, adapter string) *decide.Ticket {
		t := ticket(id, adapter)
		f.Admit(now, t, &out)
		return t
	}
	tick := func(d time.Duration) {
		now = now.Add(d)
		f.Tick(now, &out)
	}

	BeforeEach(func() {
		now = start
		out = decide.Moves{}
		got = make(map[string]decide.Assignment)
		f = decide.NewFleet(decide.FleetConfig{
			Domain:     "near",
			HoldPart:   0.7,
			CrossBytes: 5000,
			Window: decide.WindowConfig{
				Start: 4,
				Most:  4,
			},
		})
		f.SetTable(table(&wardturn.EngineSpec{
			Batch:        4,
			AdapterSlots: 2,
		}))
		f.SetMembers(members())
		for _, m := range members() {
			hold(string(m.ID))
		}
	})

	It("sends a request where its adapter is, the own failure domain first", func() {
		hold("f0", ready("a", 1))
		admit("r1", "a")
		Expect(got["r1"].Member.ID).To(BeEquivalentTo("f0"))
		hold("n1", ready("a", 1))
		admit("r2", "a")
		Expect(got["r2"].Member.ID).To(BeEquivalentTo("n1"))
		Expect(out.Asks).To(BeEmpty())
	})

	It("asks one engine for an adapter that is nowhere, and lets all who want it wait", func() {
		for i := range 5 {
			admit(fmt.Sprint("r", i), "a")
		}
		Expect(out.Asks).To(HaveLen(1))
		Expect(got).To(BeEmpty())
		now = now.Add(250 * time.Millisecond)
		hold(string(out.Asks[0].Upstream), ready("a", 1))
		Expect(got).To(HaveLen(4)) // a batch is full
		tick(100 * time.Millisecond)
		for _, a := range got {
			Expect(a.Member.ID).To(Equal(out.Asks[0].Upstream))
		}
	})

	It("agrees with other gateways on the engine that loads a cold adapter", func() {
		other := decide.NewFleet(decide.FleetConfig{
			Domain: "far",
		})
		other.SetTable(table(&wardturn.EngineSpec{
			Batch:        4,
			AdapterSlots: 2,
		}))
		other.SetMembers(members())
		var theirs decide.Moves
		for _, m := range members() {
			other.SetHolding(now, m.ID, decide.Holding{
				Connected: true,
				Known:     true,
				Full:      true,
				Models:    []wardturn.BaseModel{"m"},
			}, &theirs)
		}
		for i := range 4 {
			name := fmt.Sprint("a", i)
			admit(name, name)
			other.Admit(now, ticket(name, name), &theirs)
		}
		Expect(out.Asks).To(HaveLen(4))
		Expect(theirs.Asks).To(Equal(out.Asks))
	})

	It("asks first for the adapter asked for last when loads are behind", func() {
		for i := range 4 {
			admit(fmt.Sprint("r", i), fmt.Sprint("a", i))
		}
		admit("early", "early")
		now = now.Add(10 * time.Millisecond)
		admit("late", "late")
		Expect(out.Asks).To(HaveLen(4))
		hold(string(out.Asks[0].Upstream), ready(string(out.Asks[0].Adapter.Adapter), 1))
		Expect(out.Asks).To(HaveLen(5))
		Expect(out.Asks[4].Adapter.Adapter).To(BeEquivalentTo("late"))
	})

	It("gives up a load whose requests have not come back", func() {
		admit("r", "a")
		tick(430 * time.Millisecond)
		Expect(got["r"].Reason).To(Equal(wardturn.ReasonLoading))
		for range 4 {
			tick(300 * time.Millisecond)
		}
		Expect(f.Levels(now).Asked).To(BeZero())
		asks := len(out.Asks)
		tick(300 * time.Millisecond)
		Expect(out.Asks).To(HaveLen(asks))
	})

	It("joins the load that another gateway asked an engine for", func() {
		for i, m := range members() {
			name := fmt.Sprint("a", i)
			hold(string(m.ID), decide.HeldVersion{
				Adapter: version(name, 1),
				Loading: true,
			})
			admit(name, name)
			Expect(out.Asks[i].Upstream).To(Equal(m.ID))
		}
	})

	It("keeps to the home of an adapter when others are on their way to it", func() {
		admit("first", "a")
		home := out.Asks[0].Upstream
		tick(2 * time.Second) // nobody wants it any more
		out.Asks = nil
		var coming []decide.HeldVersion
		for i := range decide.MaxComing {
			coming = append(coming, decide.HeldVersion{
				Adapter: version(fmt.Sprint("b", i), 1),
				Loading: true,
			})
		}
		hold(string(home), coming...)
		for range 4 {
			tick(time.Second)
		}
		admit("second", "a")
		Expect(out.Asks[len(out.Asks)-1].Upstream).To(Equal(home))
	})

	It("tells a request when to come back once it has waited its part, and loads for it meanwhile", func() {
		admit("r", "a")
		tick(400 * time.Millisecond)
		Expect(got).To(BeEmpty())
		tick(30 * time.Millisecond)
		Expect(got["r"].Member.ID).To(BeEmpty())
		Expect(got["r"].Reason).To(Equal(wardturn.ReasonLoading))
		Expect(got["r"].RetryAfter).To(BeNumerically(">", 0))
		hold(string(out.Asks[0].Upstream), ready("a", 1))
		admit("again", "a")
		Expect(got["again"].Member.ID).To(Equal(out.Asks[0].Upstream))
	})

	It("bounds the loads that it asked for, and asks for those most wanted first", func() {
		for i := range 4 {
			admit(fmt.Sprint("r", i), fmt.Sprint("a", i))
		}
		admit("one", "single")
		admit("two", "wanted")
		admit("three", "wanted")
		Expect(out.Asks).To(HaveLen(4))
		hold(string(out.Asks[0].Upstream), ready(string(out.Asks[0].Adapter.Adapter), 1))
		Expect(out.Asks).To(HaveLen(5))
		Expect(out.Asks[4].Adapter.Adapter).To(BeEquivalentTo("wanted"))
	})

	It("does not count a load from the engine's own memory in the window", func() {
		hold("n0", ready("a", 1))
		hold("n1", ready("a", 1))
		hold("f0", ready("a", 1))
		hold("f1", ready("a", 1))
		for _, m := range members() {
			hold(string(m.ID))
		}
		for i := range 4 {
			admit(fmt.Sprint("r", i), fmt.Sprint("b", i))
		}
		admit("warm", "a")
		Expect(out.Asks).To(HaveLen(5))
	})

	Describe("with a slow engine", func() {
		const long = 9000 // tokens of a prompt
		admitLong := func(id string) {
			t := ticket(id, "a")
			t.Prompt = long
			f.Admit(now, t, &out)
		}
		BeforeEach(func() {
			for range 3 {
				f.Paced(now, "n0", 38*time.Millisecond)
				for _, id := range []wardturn.UpstreamID{"n1", "f0", "f1"} {
					f.Paced(now, id, 29*time.Millisecond)
				}
			}
			hold("n0", ready("a", 1))
			for i := range 3 {
				admit(fmt.Sprint("short", i), "a")
			}
			Expect(got["short2"].Member.ID).To(BeEquivalentTo("n0"))
			Expect(out.Asks).To(BeEmpty())
		})

		It("has the adapter of a long prompt loaded at a quicker one, and waits for it", func() {
			admitLong("long")
			Expect(got).NotTo(HaveKey("long"))
			Expect(out.Asks).To(HaveLen(1))
			Expect(out.Asks[0].Waiting).To(Equal(1))
			quicker := out.Asks[0].Upstream
			Expect(quicker).NotTo(BeEquivalentTo("n0"))
			tick(250 * time.Millisecond)
			hold(string(quicker), ready("a", 1))
			Expect(got["long"].Member.ID).To(Equal(quicker))
		})

		It("gives the long prompt to the slow one rather than refuse it", func() {
			admitLong("long")
			tick(430 * time.Millisecond)
			Expect(got["long"].Member.ID).To(BeEquivalentTo("n0"))
		})

		It("gives it to the slow one at once where few requests run", func() {
			f.Ended(now, "n0", key("a"), decide.EndedWell)
			admitLong("long")
			Expect(got["long"].Member.ID).To(BeEquivalentTo("n0"))
		})

		It("believes in the pace no longer than streams show it", func() {
			now = now.Add(11 * time.Second)
			admitLong("long")
			Expect(got["long"].Member.ID).To(BeEquivalentTo("n0"))
		})
	})

	It("avoids an engine that reads a long prompt for another gateway, for a while", func() {
		reading := func(tokens int) {
			f.SetHolding(now, "n0", decide.Holding{
				Connected: true,
				Known:     true,
				Models:    []wardturn.BaseModel{"m"},
				Reading:   tokens,
			}, &out)
		}
		hold("n0", ready("a", 1))
		hold("n1", ready("a", 1))
		reading(9000)
		admit("there", "a")
		Expect(got["there"].Member.ID).To(BeEquivalentTo("n1"))
		f.Ended(now, "n1", key("a"), decide.EndedWell)
		now = now.Add(2 * time.Second)
		admit("later", "a")
		Expect(got["later"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("tells keepers of its long prompts, and does not take them for others'", func() {
		hold("n0", ready("a", 1))
		t := ticket("long", "a")
		t.Prompt = 9000
		f.Admit(now, t, &out)
		Expect(f.Readings()).To(Equal([]decide.ReadingNote{
			{
				Upstream: "n0",
				Tokens:   9000,
			},
		}))
		f.SetHolding(now, "n0", decide.Holding{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Reading:   9000,
		}, &out)
		admit("short", "a")
		Expect(got["short"].Prefill).To(Equal(9000))
		f.Began("n0", 9000)
		Expect(f.Readings()).To(Equal([]decide.ReadingNote{
			{
				Upstream: "n0",
			},
		}))
		Expect(f.Readings()).To(BeEmpty())
	})

	It("has a copy that relieves a busy engine evict an adapter of less use", func() {
		list := members()
		for i := range list {
			list[i].Slots = 32
		}
		f.SetMembers(list)
		hold("n0", ready("a", 1))
		for i := range 9 {
			admit(fmt.Sprint("r", i), "a")
		}
		Expect(out.Asks).To(HaveLen(1))
		Expect(out.Asks[0].Waiting).To(BeNumerically(">", 1))
	})

	It("asks another engine when a load takes too long", func() {
		admit("r", "a")
		first := out.Asks[0].Upstream
		for range 12 {
			tick(100 * time.Millisecond)
			admit("r", "a")
		}
		Expect(out.Asks[len(out.Asks)-1].Upstream).NotTo(Equal(first))
	})

	It("loads an adapter near once much was sent to a far one", func() {
		hold("f0", ready("a", 1))
		for range 4 {
			t := admit("r", "a")
			f.Ended(now, got["r"].Member.ID, t.Key, decide.EndedWell)
		}
		Expect(out.Asks).To(BeEmpty())
		admit("r", "a")
		Expect(out.Asks).To(HaveLen(1))
		Expect(string(out.Asks[0].Upstream)).To(HavePrefix("n"))
	})

	It("does not send to an engine with an old version that was named before its start", func() {
		hold("n0", ready("a", 1))
		f.SetVersion(now, version("a", 2), false, &out)
		Expect(out.Asks).To(HaveLen(1))
		Expect(out.Asks[0].Adapter).To(Equal(version("a", 2)))
		Expect(out.Asks[0].Upstream).To(BeEquivalentTo("n0"))
		admit("r", "a")
		Expect(got).To(BeEmpty())
		hold("n0", ready("a", 2))
		Expect(got["r"].Version).To(BeEquivalentTo(2))
	})

	It("loads a new version beside the old one, moves the requests, and then replaces the old", func() {
		hold("n0", ready("a", 1))
		f.SetVersion(now, version("a", 2), true, &out)
		Expect(out.Asks).To(HaveLen(1))
		beside := out.Asks[0].Upstream
		Expect(beside).NotTo(BeEquivalentTo("n0"))
		admit("old", "a")
		Expect(got["old"].Version).To(BeEquivalentTo(1))
		hold(string(beside), ready("a", 2))
		admit("new", "a")
		Expect(got["new"].Member.ID).To(Equal(beside))
		Expect(got["new"].Version).To(BeEquivalentTo(2))
		Expect(out.Asks[len(out.Asks)-1].Upstream).To(BeEquivalentTo("n0"))
	})

	It("lets an old version serve no longer than its grace", func() {
		hold("n0", ready("a", 1))
		f.SetVersion(now, version("a", 2), true, &out)
		now = now.Add(3 * time.Second)
		admit("r", "a")
		Expect(got).To(BeEmpty())
	})

	It("tries an engine that refused a connection again after a while", func() {
		hold("n0", ready("a", 1))
		f.Refused(now, "n0")
		admit("r", "a")
		Expect(got).To(BeEmpty())
		tick(410 * time.Millisecond)
		Expect(got["r"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("passes over engines that leave or answer as another", func() {
		hold("n0", ready("a", 1))
		hold("n1", ready("a", 1))
		f.Misplaced("n0")
		admit("r1", "a")
		Expect(got["r1"].Member.ID).To(BeEquivalentTo("n1"))
		list := members()
		list[1].Draining = true
		f.SetMembers(list)
		admit("r2", "a")
		Expect(got).NotTo(HaveKey("r2"))
	})

	It("takes the entry written last for the upstream at an address", func() {
		list := members()
		again := list[0]
		again.ID = "n0-again"
		again.Seen = 9
		list[0].Seen = 8
		f.SetMembers(append(list, again))
		hold("n0", ready("a", 1))
		hold("n0-again", ready("a", 1))
		admit("r", "a")
		Expect(got["r"].Member.ID).To(BeEquivalentTo("n0-again"))
	})

	It("doubts its keeper's word for a moment after an engine refused", func() {
		hold("n0", ready("a", 1))
		f.NotHeld(now, "n0", key("a"))
		admit("r", "a")
		Expect(got).To(BeEmpty())
		tick(310 * time.Millisecond)
		Expect(got["r"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("follows changes of a holding", func() {
		hold("n0", ready("a", 1), ready("b", 1))
		f.SetHolding(now, "n0", decide.Holding{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Adapters:  []decide.HeldVersion{ready("c", 1)},
			Gone:      []wardturn.ModelAdapter{key("a")},
		}, &out)
		admit("b", "b")
		admit("c", "c")
		admit("a", "a")
		Expect(got).To(HaveLen(2))
	})

	It("keeps serving what an engine held when its keeper is lost, and asks it for nothing", func() {
		hold("n0", ready("a", 1))
		f.KeeperLost("n0")
		admit("r", "a")
		Expect(got["r"].Member.ID).To(BeEquivalentTo("n0"))
		for i := range 20 {
			admit(fmt.Sprint("x", i), fmt.Sprint("x", i))
		}
		for _, a := range out.Asks {
			Expect(a.Upstream).NotTo(BeEquivalentTo("n0"))
		}
	})

	It("withdraws a request whose caller left", func() {
		t := admit("r", "a")
		f.Withdraw(t)
		hold(string(out.Asks[0].Upstream), ready("a", 1))
		Expect(got).To(BeEmpty())
		Expect(f.Usage(out.Asks[0].Upstream)).To(BeEmpty())
	})

	It("reports the use of adapters once", func() {
		hold("n0", ready("a", 1))
		admit("r", "a")
		counts := f.Usage("n0")
		Expect(counts).To(HaveLen(1))
		Expect(counts[0].Started).To(Equal(1))
		Expect(counts[0].Running).To(Equal(1))
		Expect(f.Usage("n0")).To(BeEmpty())
		f.Ended(now, "n0", key("a"), decide.EndedWell)
		Expect(f.Usage("n0")[0].Running).To(BeZero())
	})

	Context("for a plain service", func() {
		BeforeEach(func() {
			f.SetTable(table(nil))
		})

		It("takes the near upstreams until they are full, then the far ones", func() {
			for i := range 8 {
				admit(fmt.Sprint("r", i), "")
				Expect(string(got[fmt.Sprint("r", i)].Member.ID)).To(HavePrefix("n"))
			}
			admit("more", "")
			Expect(string(got["more"].Member.ID)).To(HavePrefix("f"))
		})

		It("moves away from an upstream that answers slowly, and tries it again", func() {
			ids := func() map[wardturn.UpstreamID]int {
				n := make(map[wardturn.UpstreamID]int)
				for range 20 {
					admit("r", "")
					id := got["r"].Member.ID
					n[id]++
					took := 30 * time.Millisecond
					if string(id)[0] == 'n' {
						took = 200 * time.Millisecond
					}
					f.Timed(now, id, took)
					f.Ended(now, id, key(""), decide.EndedWell)
				}
				return n
			}
			ids()
			n := ids()
			Expect(n["n0"] + n["n1"]).To(BeZero())
			now = now.Add(10 * time.Second)
			n = ids()
			Expect(n["n0"] + n["n1"]).NotTo(BeZero())
		})

		It("leaves an upstream that fails more often than others", func() {
			for range 30 {
				admit("r", "")
				id := got["r"].Member.ID
				how := decide.EndedWell
				if id == "n0" {
					how = decide.EndedInError
				}
				f.Ended(now, id, key(""), how)
			}
			for range 5 {
				admit("r", "")
				Expect(got["r"].Member.ID).NotTo(BeEquivalentTo("n0"))
				f.Ended(now, got["r"].Member.ID, key(""), decide.EndedWell)
			}
		})

		It("refuses when all are full, and says when there are none", func() {
			for i := range 32 {
				admit(fmt.Sprint("r", i), "")
			}
			admit("over", "")
			Expect(got["over"].Reason).To(Equal(wardturn.ReasonQueueFull))
			f.SetMembers(nil)
			admit("none", "")
			Expect(got["none"].Reason).To(Equal(wardturn.ReasonNoUpstream))
		})
	})
})

var _ = Describe("LoadWindow", func() {
	It("narrows while loads are slow and widens while they are quick", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{
			Start:  10,
			Most:   12,
			Target: 500 * time.Millisecond,
		})
		now := start
		for range 20 {
			now = now.Add(time.Second)
			w.Loaded(now, time.Second)
		}
		Expect(w.Size()).To(BeNumerically("<", 5))
		for range 200 {
			w.Loaded(now, 250*time.Millisecond)
		}
		Expect(w.Size()).To(Equal(12))
	})

	It("does not narrow for single slow loads", func() {
		w := decide.NewLoadWindow(decide.WindowConfig{
			Start:  10,
			Most:   12,
			Target: 500 * time.Millisecond,
		})
		now := start
		for i := range 60 {
			now = now.Add(time.Second)
			d := 250 * time.Millisecond
			if i%4 == 0 {
				d = 5 * time.Second
			}
			w.Loaded(now, d)
		}
		Expect(w.Size()).To(BeNumerically(">=", 10))
	})
})
