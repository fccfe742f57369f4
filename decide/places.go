package decide

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

const (
	// MaxComing is the number of adapters that may be on their way to an engine
	// at once; the platform's protocol sets it.
	MaxComing = 4
	// wishLife is how long a wish counts without being repeated. Gateways
	// repeat every wishRepeat.
	wishLife = 700 * time.Millisecond
	// evictionNotice is the time between telling the gateways that an adapter
	// goes and the order: a request on its way by then arrives before it.
	evictionNotice = 4 * time.Millisecond
	// freshGuard protects an adapter that was just loaded: the requests that
	// waited for it are on their way.
	freshGuard = 300 * time.Millisecond
	// idleGuard protects an adapter just used, whose use may not be reported yet.
	idleGuard = 250 * time.Millisecond
)

// Places decides which adapters one engine holds. It sees the engine's own fresh
// report before every order, and each order names the engine's sequence number
// as reported: an order that got no answer either shows in the next report or is
// void once another order is taken, so nothing has to be remembered of it.
type Places struct {
	policy  wardturn.Policy
	start   time.Time
	spec    wardturn.EngineSpec
	state   wardturn.EngineState
	known   bool
	wishes  map[wardturn.ModelAdapter]*wish
	uses    map[wardturn.ModelAdapter]*use
	leaving map[wardturn.ModelAdapter]time.Time
	readyAt map[wardturn.ModelAdapter]time.Time
	retryAt time.Time // no order before
	// lost are the adapters that requests of gateways which were lost may still use, and
	// until when that is believed.
	lost       map[wardturn.ModelAdapter]time.Time
	reportedAt time.Time
}

// wish is an adapter that gateways want, each for requests of its own.
type wish struct {
	version wardturn.Version
	by      map[wardturn.Incarnation]gatewayWish
	at      time.Time // of the latest word
}

type gatewayWish struct {
	waiting int
	oldest  time.Duration
	at      time.Time
}

// waiting returns the requests that wait at all gateways whose word still counts,
// and how long the oldest has.
func (w *wish) waiting(now time.Time) (n int, oldest time.Duration) {
	for _, g := range w.by {
		if now.Sub(g.at) > wishLife {
			continue
		}
		n += g.waiting
		oldest = max(oldest, g.oldest)
	}
	return n, oldest
}

type use struct {
	demand  Demand
	running map[wardturn.Incarnation]int // by gateway
	last    time.Time
}

// NewPlaces returns the decisions for an engine of which nothing is known yet.
func NewPlaces(now time.Time, p wardturn.Policy) *Places {
	return &Places{
		policy:  p,
		start:   now,
		wishes:  make(map[wardturn.ModelAdapter]*wish),
		uses:    make(map[wardturn.ModelAdapter]*use),
		leaving: make(map[wardturn.ModelAdapter]time.Time),
		readyAt: make(map[wardturn.ModelAdapter]time.Time),
		lost:    make(map[wardturn.ModelAdapter]time.Time),
	}
}

// SetSpec takes what the operator says of the engine.
func (p *Places) SetSpec(spec wardturn.EngineSpec) {
	p.spec = spec
}

// Wish takes a gateway's wish for an adapter.
func (p *Places) Wish(now time.Time, gateway wardturn.Incarnation, a wardturn.AdapterVersion, waiting int, oldest time.Duration) {
	w := p.wishes[a.Key()]
	if w == nil {
		w = &wish{
			by: make(map[wardturn.Incarnation]gatewayWish),
		}
		p.wishes[a.Key()] = w
	}
	if p.holds(a.Key(), a.Version) {
		delete(p.leaving, a.Key()) // it is wanted after all
		u := p.use(a.Key())
		u.last = now
	}
	w.version = max(w.version, a.Version)
	w.by[gateway] = gatewayWish{
		waiting: waiting,
		oldest:  oldest,
		at:      now,
	}
	w.at = now
}

// Use takes a gateway's count of requests to an adapter.
func (p *Places) Use(now time.Time, gateway wardturn.Incarnation, key wardturn.ModelAdapter, started, running int) {
	u := p.use(key)
	for range started {
		u.demand.Arrive(now)
	}
	if started > 0 || running > 0 {
		u.last = now
	}
	u.running[gateway] = running
	if running == 0 {
		delete(u.running, gateway)
	}
}

func (p *Places) use(key wardturn.ModelAdapter) *use {
	u := p.uses[key]
	if u == nil {
		u = &use{
			demand:  NewDemand(p.start),
			running: make(map[wardturn.Incarnation]int),
		}
		p.uses[key] = u
	}
	return u
}

// lostFor is how long requests of a gateway that was lost may still run: the longest
// streams take over 7 s.
const lostFor = 8 * time.Second

// GatewayLost forgets the requests of a gateway whose connection ended. While the engine
// runs more than the other gateways tell of, they may still run there: the gateway may
// only be cut off from here. To unload what they use would keep the engine from all other
// orders until they end.
func (p *Places) GatewayLost(gateway wardturn.Incarnation) {
	for key, u := range p.uses {
		if u.running[gateway] > 0 {
			p.lost[key] = p.reportedAt.Add(lostFor)
		}
		delete(u.running, gateway)
	}
	p.forgetLost()
}

// forgetLost forgets the requests of lost gateways once the engine runs no more than the
// others tell of.
func (p *Places) forgetLost() {
	if len(p.lost) == 0 {
		return
	}
	told := 0
	for _, u := range p.uses {
		for _, n := range u.running {
			told += n
		}
	}
	if p.state.Running <= told {
		clear(p.lost)
	}
}

// Defer keeps the next order back until a time.
func (p *Places) Defer(until time.Time) {
	p.retryAt = until
}

// Leaving reports whether an adapter is about to be unloaded or replaced.
func (p *Places) Leaving(key wardturn.ModelAdapter) bool {
	_, ok := p.leaving[key]
	return ok
}

// PlaceOrder is an order to be given now.
type PlaceOrder struct {
	Unload  bool
	Target  wardturn.ModelAdapter
	Version wardturn.Version
}

// Wanting reports whether orders may be due.
func (p *Places) Wanting() bool {
	return len(p.wishes) > 0 || len(p.state.Loading) > 0 || len(p.leaving) > 0 || len(p.state.Models) == 0
}

// Next returns the order that is due. It reports false if there is none now. A busy
// engine refuses all orders, so none is given then.
func (p *Places) Next(now time.Time) (PlaceOrder, bool) {
	p.expire(now)
	if !p.known || p.state.Busy || len(p.spec.Models) == 0 || now.Before(p.retryAt) {
		return PlaceOrder{}, false
	}
	if len(p.state.Models) == 0 {
		return PlaceOrder{
			Target: wardturn.ModelAdapter{
				Model: p.spec.Models[0].Name,
			},
		}, true
	}
	for _, key := range p.ranked(now) {
		if o, ok := p.towards(now, key); ok {
			return o, true
		}
	}
	return PlaceOrder{}, false
}

// expire forgets wishes that were not repeated, and evictions that nobody needs
// any more.
func (p *Places) expire(now time.Time) {
	for key, w := range p.wishes {
		if now.Sub(w.at) > wishLife || p.holds(key, w.version) {
			delete(p.wishes, key)
		}
	}
	for key, at := range p.leaving {
		if now.Sub(at) > wishLife {
			delete(p.leaving, key)
		}
	}
	for key, until := range p.lost {
		if now.After(until) {
			delete(p.lost, key)
		}
	}
}

// holds reports whether an adapter is there at a version or a newer one.
func (p *Places) holds(key wardturn.ModelAdapter, v wardturn.Version) bool {
	have, ok := p.resident(key)
	return ok && have >= v
}

func (p *Places) resident(key wardturn.ModelAdapter) (wardturn.Version, bool) {
	for _, m := range p.state.Models {
		if m.Name != key.Model {
			continue
		}
		for _, a := range m.Adapters {
			if a.Adapter == key.Adapter {
				return a.Version, true
			}
		}
	}
	return 0, false
}

func (p *Places) coming(key wardturn.ModelAdapter) bool {
	return slices.ContainsFunc(p.state.Loading, func(a wardturn.AdapterVersion) bool {
		return a.Key() == key
	})
}

func (p *Places) modelLoaded(m wardturn.BaseModel) bool {
	return slices.ContainsFunc(p.state.Models, func(l wardturn.LoadedModel) bool {
		return l.Name == m
	})
}

// occupied counts the adapter slots that are taken or promised. An adapter that
// is being replaced by a newer version takes two: the old copy stays until the new
// one is there.
func (p *Places) occupied() int {
	n := len(p.state.Loading)
	for _, m := range p.state.Models {
		n += len(m.Adapters)
	}
	return n
}

// replacing counts the adapters that are being replaced.
func (p *Places) replacing() int {
	n := 0
	for _, a := range p.state.Loading {
		if _, ok := p.resident(a.Key()); ok {
			n++
		}
	}
	return n
}

// ranked returns the wished adapters, the worthiest first.
func (p *Places) ranked(now time.Time) []wardturn.ModelAdapter {
	type scored struct {
		key   wardturn.ModelAdapter
		value float64
	}
	list := make([]scored, 0, len(p.wishes))
	for key := range p.wishes {
		list = append(list, scored{
			key:   key,
			value: p.value(now, key),
		})
	}
	slices.SortFunc(list, func(x, y scored) int {
		if x.value != y.value {
			if x.value > y.value {
				return -1
			}
			return 1
		}
		return strings.Compare(string(x.key.Adapter), string(y.key.Adapter))
	})
	keys := make([]wardturn.ModelAdapter, len(list))
	for i, s := range list {
		keys[i] = s.key
	}
	return keys
}

// value asks the policy what a slot is worth to an adapter.
func (p *Places) value(now time.Time, key wardturn.ModelAdapter) float64 {
	in := wardturn.SlotInput{
		Adapter: key.Adapter,
	}
	if u := p.uses[key]; u != nil {
		in.Rate = u.demand.Rate(now)
		in.Idle = now.Sub(u.demand.Last())
		for _, n := range u.running {
			in.Running += n
		}
	}
	if w := p.wishes[key]; w != nil {
		in.Waiting, in.WaitingLong = w.waiting(now)
	}
	_, in.Resident = p.resident(key)
	return p.policy.Slot(in)
}

// towards returns the next order on the way to a wished adapter.
func (p *Places) towards(now time.Time, key wardturn.ModelAdapter) (PlaceOrder, bool) {
	w := p.wishes[key]
	if !p.modelLoaded(key.Model) || p.coming(key) {
		return PlaceOrder{}, false
	}
	load := PlaceOrder{
		Target:  key,
		Version: w.version,
	}
	if _, ok := p.resident(key); ok {
		// Given while the old version runs, the order would keep the engine from all
		// others until that ends.
		return load, p.noticed(now, key) && !p.runs(key)
	}
	if len(p.state.Loading) >= MaxComing {
		return PlaceOrder{}, false
	}
	if p.occupied() < p.spec.AdapterSlots {
		return load, true
	}
	if p.occupied()-p.replacing() < p.spec.AdapterSlots {
		return PlaceOrder{}, false // there is room once the replacement is done
	}
	victim, ok := p.victim(now, p.value(now, key))
	if !ok || !p.noticed(now, victim) {
		return PlaceOrder{}, false
	}
	return PlaceOrder{
		Unload: true,
		Target: victim,
	}, true
}

// noticed marks an adapter as leaving and reports whether the gateways have had
// time to learn of it.
func (p *Places) noticed(now time.Time, key wardturn.ModelAdapter) bool {
	at, ok := p.leaving[key]
	if !ok {
		p.leaving[key] = now
		return false
	}
	return now.Sub(at) >= evictionNotice
}
