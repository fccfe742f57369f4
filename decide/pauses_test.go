package decide_test

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// hotAdapter simulates requests for one adapter that arrive faster than one engine can
// prefill their prompts without stalling its streams. They are spread over gateways that
// each send a few of them.
type hotAdapter struct {
	now      time.Time
	gateways []*decide.Fleet
	engines  map[wardturn.UpstreamID]*prefillingEngine
	pause    time.Duration // longest pause allowed by the requests' route
	stalled  int           // requests whose prefill pauses other streams beyond hotPause
	sent     int
}

// prefillingEngine simulates an engine that prefills prompts one after another and
// streams tokens to each request for two seconds.
type prefillingEngine struct {
	adapter      bool
	loadedAt     time.Time
	running      int
	prefill      map[*decide.Fleet]int
	prefillUntil time.Time
}

const (
	hotPrefillRate = 20 // tokens per millisecond
	hotPrompt      = 2400
	hotLoad        = 300 * time.Millisecond
	hotPause       = 400 * time.Millisecond
)

func newHotAdapter(gateways, engines int, pause time.Duration) *hotAdapter {
	h := &hotAdapter{
		now:     start,
		engines: make(map[wardturn.UpstreamID]*prefillingEngine),
		pause:   pause,
	}
	var members []wardturn.Member
	for i := range engines {
		id := wardturn.UpstreamID(string(rune('a' + i)))
		h.engines[id] = &prefillingEngine{
			adapter: i == 0,
			prefill: make(map[*decide.Fleet]int),
		}
		members = append(members, wardturn.Member{
			ID:      id,
			Service: fleetService,
			Addr:    string(id) + ":1",
			Domain:  "near",
			Slots:   64,
		})
	}
	for range gateways {
		f := decide.NewFleet(decide.FleetConfig{
			Domain: "near",
			Random: func() float64 { return 0 },
			Window: decide.WindowConfig{
				Start: 4,
				Max:   4,
			},
		})
		f.SetTable(fleetTable(&wardturn.EngineSpec{
			Batch:        64,
			AdapterSlots: 4,
		}))
		f.SetMembers(h.now, members)
		for range 100 {
			f.PrefillMeasured(fleetService, hotPrompt, hotPrompt/hotPrefillRate*time.Millisecond)
		}
		h.gateways = append(h.gateways, f)
	}
	return h
}

// deliverEngineUpdates delivers the state of all engines to all gateways, as keepers report
// it.
func (h *hotAdapter) deliverEngineUpdates() {
	for _, f := range h.gateways {
		for id, e := range h.engines {
			update := decide.EngineUpdate{
				Connected: true,
				Known:     true,
				Models:    []wardturn.BaseModel{"m"},
				Full:      true,
				Running:   e.running,
				FreeSlots: decide.MaxFreeSlots,
				Gateways:  len(h.gateways),
			}
			for _, tokens := range e.prefill {
				update.PrefillTokens += tokens
			}
			if e.adapter {
				update.Adapters = []decide.HeldVersion{
					{
						Adapter: adapterVersion("hot", 1),
						Ready:   !h.now.Before(e.loadedAt),
						Loading: h.now.Before(e.loadedAt),
					},
				}
			}
			var out decide.Actions
			f.ApplyEngineUpdate(h.now, id, update, &out)
			h.load(out)
		}
	}
}

func (h *hotAdapter) load(out decide.Actions) {
	for _, r := range out.LoadRequests {
		if e := h.engines[r.Upstream]; !e.adapter {
			e.adapter = true
			e.loadedAt = h.now.Add(hotLoad)
		}
	}
}

// send sends a request through a gateway, and returns the events that end the prefill of
// its prompt and its response.
func (h *hotAdapter) send(f *decide.Fleet) (began, ended event) {
	var out decide.Actions
	f.Admit(h.now, &decide.PendingRequest{
		Service:   fleetService,
		Key:       adapterKey("hot"),
		Arrived:   h.now,
		Objective: time.Second,
		MaxPause:  h.pause,
		Deadline:  h.now.Add(5 * time.Second),
		Prompt:    hotPrompt,
		Assign: func(a decide.Assignment) {
			e := h.engines[a.Member.ID]
			e.running++
			e.prefillUntil = latestOf(e.prefillUntil, h.now).Add(hotPrompt / hotPrefillRate * time.Millisecond)
			h.sent++
			if e.running > 1 && e.prefillUntil.Sub(h.now) > hotPause {
				h.stalled++
			}
			began = event{
				at: e.prefillUntil,
				do: func() {
					f.ResponseStarted(a.Member.ID, hotPrompt)
				},
			}
			ended = event{
				at: e.prefillUntil.Add(2 * time.Second),
				do: func() {
					f.RequestEnded(h.now, a.Member.ID, adapterKey("hot"), decide.OutcomeOK)
					e.running--
				},
			}
		},
	}, &out)
	h.load(out)
	h.deliverPrefillReports()
	return began, ended
}

// deliverPrefillReports delivers the gateways' reports of prompts in prefill to the
// keepers.
func (h *hotAdapter) deliverPrefillReports() {
	for _, f := range h.gateways {
		for _, r := range f.PrefillReports() {
			h.engines[r.Upstream].prefill[f] = r.Tokens
		}
	}
}

type event struct {
	at time.Time
	do func()
}

func latestOf(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// run sends requests at a constant interval for a span of time.
func (h *hotAdapter) run(span, every time.Duration) {
	var events []event
	for at := time.Duration(0); at < span; at += 10 * time.Millisecond {
		h.now = start.Add(at)
		var later []event
		for _, e := range events {
			if h.now.Before(e.at) {
				later = append(later, e)
				continue
			}
			e.do()
		}
		events = later
		h.deliverPrefillReports()
		h.deliverEngineUpdates()
		if at%every == 0 {
			began, ended := h.send(h.gateways[int(at/every)%len(h.gateways)])
			if began.do != nil {
				events = append(events, began, ended)
			}
		}
	}
}

// Prompts sent by many gateways for one adapter stall all streams of its engines, while
// each gateway has too few requests there to request another copy because of its own load.
func TestHotAdapterIsSpreadBeforeStreamsPause(t *testing.T) {
	simulate := func(pause time.Duration) *hotAdapter {
		h := newHotAdapter(8, 8, pause)
		h.run(10*time.Second, 50*time.Millisecond)
		return h
	}
	with := simulate(hotPause)
	without := simulate(0)
	t.Logf("requests sent to an engine whose streams then stall: %d of %d; without a bound on pauses: %d of %d", with.stalled, with.sent, without.stalled, without.sent)
	if with.sent < 190 {
		t.Errorf("%d requests sent, want at least 190", with.sent)
	}
	if 5*with.stalled > with.sent {
		t.Errorf("%d of %d requests stall streams", with.stalled, with.sent)
	}
	if without.stalled < 2*with.stalled {
		t.Errorf("%d of %d requests stall streams without the bound, too few for a comparison", without.stalled, without.sent)
	}
}
