package decide

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// pendingLoad is the load request for an adapter, combined over the gateways that need it.
type pendingLoad struct {
	version   wardturn.Version
	gateways  map[wardturn.Incarnation]gatewayRequest
	updatedAt time.Time // of the latest message
}

type gatewayRequest struct {
	LoadUrgency
	waiting   int
	oldest    time.Duration
	updatedAt time.Time
}

// LoadUrgency is the urgency of the requests behind a load request.
type LoadUrgency struct {
	Weight float64   // waiting requests, weighted by rank
	LateAt time.Time // end of their latest objective; zero: they count as in time
}

// pendingSummary combines the load requests of all gateways that have not expired.
type pendingSummary struct {
	waiting int
	oldest  time.Duration // longest wait
	weight  float64
	inTime  bool // some requests may be in time if the adapter is available at a given time
}

func (l *pendingLoad) summary(now, available time.Time) pendingSummary {
	var s pendingSummary
	for _, g := range l.gateways {
		if now.Sub(g.updatedAt) > loadRequestLifetime {
			continue
		}
		s.waiting += g.waiting
		s.oldest = max(s.oldest, g.oldest)
		s.weight += g.Weight
		s.inTime = s.inTime || g.LateAt.IsZero() || !available.After(g.LateAt)
	}
	return s
}

// meanWeight returns the mean weight of the waiting requests.
func (s pendingSummary) meanWeight() float64 {
	if s.waiting == 0 {
		return 1
	}
	return s.weight / float64(s.waiting)
}

// RequestLoad records or renews a load request of a gateway that doesn't tell the urgency of
// its requests. They count as in time and with weight 1 each.
func (p *Placement) RequestLoad(now time.Time, gateway wardturn.Incarnation, a wardturn.AdapterVersion, waiting int, oldest time.Duration) {
	p.RequestUrgentLoad(now, gateway, a, waiting, oldest, LoadUrgency{
		Weight: float64(waiting),
	})
}

// RequestUrgentLoad records or renews a gateway's load request for an adapter.
func (p *Placement) RequestUrgentLoad(now time.Time, gateway wardturn.Incarnation, a wardturn.AdapterVersion, waiting int, oldest time.Duration, u LoadUrgency) {
	l := p.pending[a.Key()]
	if l == nil {
		l = &pendingLoad{
			gateways: make(map[wardturn.Incarnation]gatewayRequest),
		}
		p.pending[a.Key()] = l
	}
	if p.holds(a.Key(), a.Version) {
		delete(p.evictionAnnouncedAt, a.Key()) // cancels a pending eviction
		p.useOf(a.Key()).last = now
	}
	l.version = max(l.version, a.Version)
	l.gateways[gateway] = gatewayRequest{
		LoadUrgency: u,
		waiting:     waiting,
		oldest:      oldest,
		updatedAt:   now,
	}
	l.updatedAt = now
}

// scoredLoad is a load request with its place in the order of load requests.
type scoredLoad struct {
	key    wardturn.ModelAdapter
	inTime bool
	value  float64
}

func (x scoredLoad) compare(y scoredLoad) int {
	switch {
	case x.inTime != y.inTime:
		if x.inTime {
			return -1
		}
		return 1
	case x.value > y.value:
		return -1
	case x.value < y.value:
		return 1
	}
	return strings.Compare(string(x.key.Adapter), string(y.key.Adapter))
}

// byValue returns the adapters with load requests in the order in which they are loaded.
// When gateways request more adapters than the engine can load, those that can be loaded in
// time for a request go first, then those of the higher value, weighted by the rank of the
// requests that wait.
func (p *Placement) byValue(now time.Time) []wardturn.ModelAdapter {
	list := make([]scoredLoad, 0, len(p.pending))
	for key, l := range p.pending {
		s := l.summary(now, now.Add(p.loads.typical()))
		list = append(list, scoredLoad{
			key:    key,
			inTime: s.inTime,
			value:  p.valueOf(now, key, s) * s.meanWeight(),
		})
	}
	slices.SortFunc(list, scoredLoad.compare)
	keys := make([]wardturn.ModelAdapter, len(list))
	for i, s := range list {
		keys[i] = s.key
	}
	return keys
}

// value returns the policy's value of a slot for an adapter.
func (p *Placement) value(now time.Time, key wardturn.ModelAdapter) float64 {
	var s pendingSummary
	if l := p.pending[key]; l != nil {
		s = l.summary(now, now)
	}
	return p.valueOf(now, key, s)
}

func (p *Placement) valueOf(now time.Time, key wardturn.ModelAdapter, s pendingSummary) float64 {
	in := wardturn.SlotInput{
		Adapter:       key.Adapter,
		Waiting:       s.waiting,
		OldestWaiting: s.oldest,
	}
	if u := p.uses[key]; u != nil {
		in.Rate = u.demand.Rate(now)
		in.Idle = now.Sub(u.demand.Last())
		for _, n := range u.running {
			in.Running += n
		}
	}
	_, in.Resident = p.resident(key)
	return p.policy.Slot(in)
}

// loadTimes are the durations of the engine's loads, as seen in its reports.
type loadTimes struct {
	window LoadWindow // used for its median only
	since  map[wardturn.ModelAdapter]time.Time
}

func newLoadTimes() loadTimes {
	return loadTimes{
		window: NewLoadWindow(WindowConfig{}),
		since:  make(map[wardturn.ModelAdapter]time.Time),
	}
}

// typical returns the median duration of recent loads, or initialLoadTime before the first.
func (t *loadTimes) typical() time.Duration {
	return t.window.MedianLoadTime()
}

// report observes the loads that have ended.
func (t *loadTimes) report(now time.Time, st wardturn.EngineState) {
	for key, since := range t.since {
		if !slices.ContainsFunc(st.Loading, func(a wardturn.AdapterVersion) bool {
			return a.Key() == key
		}) {
			t.window.ObserveLoad(now, now.Sub(since), 0)
			delete(t.since, key)
		}
	}
	for _, a := range st.Loading {
		if _, known := t.since[a.Key()]; !known {
			t.since[a.Key()] = now
		}
	}
}
