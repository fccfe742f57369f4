package decide

import (
	"math"
	"slices"
	"time"

	"wardturn"
)

// Member is an upstream together with the state that this gateway keeps of it.
type Member struct {
	wardturn.Member
	hash         uint64
	breaker      Breaker
	failureShare float64 // moving average of the share of its requests that failed
	// latency is the moving average of its response time, in milliseconds. It is kept for
	// plain services only.
	latency         float64
	latencyAt       time.Time     // when latency was last updated
	running         int           // requests of this gateway in flight
	bodyBytes       int           // total size of their bodies, in bytes
	prefillTokens   int           // prompt tokens of those without a byte of response yet
	prefill         prefillCounts // long prompts being prefilled, of all gateways
	prefillRate     *prefillRate  // prefill rate of the engines of its service
	engineRate      engineRate    // its own prefill rate as measured by its keeper
	lastUpdate      EngineUpdate
	updatedAt       time.Time // when lastUpdate was received
	runningAtUpdate int       // value of running when lastUpdate was received
	held            map[wardturn.ModelAdapter]heldAdapter
	loadsInFlight   int // adapters of held being loaded from the weight store
	everHeld        map[wardturn.ModelAdapter]bool
	requested       map[wardturn.ModelAdapter]bool // adapters that this gateway has asked it for
	uses            map[wardturn.ModelAdapter]*AdapterCount
	// notHeldUntil holds the adapters that it refused as not held, and until when that
	// overrides lastUpdate.
	notHeldUntil      map[wardturn.ModelAdapter]time.Time
	replaced          bool              // another instance answers at its address
	restarted         bool              // another lifetime of the instance answers there
	refusedUntil      time.Time         // set when it refuses a connection
	refusing          bool              // its latest connection was refused
	backoff           *upstreamBackoff  // backoff that it asked for, or nil
	coldUntil         time.Time         // according to its entry and its responses
	coldEntry         wardturn.Position // of the entry behind coldUntil; negative if none
	presumedColdUntil time.Time         // until when it may be cold without having reported it
	evacuated         bool              // its failure domain is being evacuated
	plain             *plainUpstream    // its load as an upstream of a plain service, or nil
}

// Terms of the cost of sending a request to a member, in milliseconds of expected delay.
const (
	// crossDomainCost stands for the price of traffic between failure domains, about one
	// thirtieth of the value of a request.
	crossDomainCost = 20.0
	// perRequestCost is the delay that each request at an engine adds to another one:
	// prefill and decoding of all requests share the same engine steps.
	perRequestCost = 3.0
	// failureCost is the expected loss of a request that has to be sent again or cannot
	// be.
	failureCost = 500.0
	// failureWeight is the weight of one request in the average failure share; about ten
	// failed requests reveal a fault.
	failureWeight = 0.1
)

// cheapestMember returns the member of the lowest cost among those that match, or nil.
func (f *Fleet) cheapestMember(now time.Time, list []*Member, match func(*Member) bool) *Member {
	return cheapest(list, match, func(m *Member) float64 {
		return f.cost(now, m)
	})
}

func cheapest(list []*Member, match func(*Member) bool, cost func(*Member) float64) *Member {
	var best *Member
	lowest := 0.0
	for _, m := range list {
		if !match(m) {
			continue
		}
		if c := cost(m); best == nil || c < lowest {
			best = m
			lowest = c
		}
	}
	return best
}

// cost returns the expected delay of a request at a member plus the delay that it causes
// to the requests running there.
func (f *Fleet) cost(now time.Time, m *Member) float64 {
	c := m.loadCost(now)
	if m.Domain != f.cfg.Domain {
		c += crossDomainCost
	}
	return c
}

// loadCost is cost without the part that depends on this gateway's failure domain.
func (m *Member) loadCost(now time.Time) float64 {
	c := m.prefillCost(now, m.pendingPrefill(now)) + perRequestCost*float64(m.load())
	return c + failureCost*m.failureShare + m.decayedLatency(now)
}

const (
	// latencyWeight is the weight of one response in the average response time.
	latencyWeight = 0.2
	// latencyDecay is the time constant with which the average decays, so that an upstream
	// that was slow is tried again after a few seconds.
	latencyDecay = 2 * time.Second
	// queueFullLatency is the response time, in milliseconds, recorded for a refusal for
	// lack of capacity: the request has to be sent again.
	queueFullLatency = 100.0
)

// ResponseTimed records the response time of a plain upstream.
func (f *Fleet) ResponseTimed(now time.Time, id wardturn.UpstreamID, took time.Duration) {
	f.observeLatency(now, id, float64(took)/float64(time.Millisecond))
	f.plain.ResponseTimed(now, f.members[id], took)
}

// RefusedAsFull records that an upstream refused a request for lack of capacity, and whether
// it asked for a backoff. Requests of other gateways, which this gateway does not see, may
// fill it. After a backoff, which ends when the upstream wants, it is not avoided any longer.
func (f *Fleet) RefusedAsFull(now time.Time, id wardturn.UpstreamID, backsOff bool) {
	if !backsOff {
		f.observeLatency(now, id, queueFullLatency)
	}
	f.plain.Rejected(now, f.members[id])
}

func (f *Fleet) observeLatency(now time.Time, id wardturn.UpstreamID, took float64) {
	m := f.members[id]
	if m == nil {
		return
	}
	m.latency = m.decayedLatency(now)
	m.latency += latencyWeight * (took - m.latency)
	m.latencyAt = now
}

// decayedLatency returns the average response time, decayed by its age.
func (m *Member) decayedLatency(now time.Time) float64 {
	if m.latency == 0 {
		return 0
	}
	return m.latency * math.Exp(-now.Sub(m.latencyAt).Seconds()/latencyDecay.Seconds())
}

// utilization returns the load as a fraction of the member's slots.
func (m *Member) utilization() float64 {
	return float64(m.load()) / float64(max(m.Slots, 1))
}

// usable reports whether a request may be sent to a member now.
func (m *Member) usable(now time.Time, tried []wardturn.UpstreamID) bool {
	return m.available(now) && m.backoff.allows(now) && !slices.Contains(tried, m.ID)
}

// eligible reports whether a member is usable now or will be shortly.
func (m *Member) eligible(now time.Time) bool {
	return m.available(now) && !m.backoff.inForce(now)
}

// available is usable without regard to a backoff and to the members that a request has
// already tried.
func (m *Member) available(now time.Time) bool {
	return !m.Draining && !m.evacuated && !m.replaced && !now.Before(m.refusedUntil) && m.breaker.Allows(now)
}

// load estimates the number of requests at a member: those that its keeper reported plus
// those that this gateway has sent since. Without a keeper only this gateway's requests
// are known.
func (m *Member) load() int {
	if !m.lastUpdate.Known {
		return m.running
	}
	return max(m.running, m.lastUpdate.Running+m.lastUpdate.Queued+m.running-m.runningAtUpdate)
}

// canLoad reports whether an engine can be asked to load adapters of a model.
func (m *Member) canLoad(now time.Time, model wardturn.BaseModel) bool {
	return m.eligible(now) && m.lastUpdate.Connected && m.lastUpdate.Known && slices.Contains(m.lastUpdate.Models, model)
}

// IncarnationReplaced records that another lifetime answers at an upstream's address: this
// one has ended, even if it is still listed.
func (f *Fleet) IncarnationReplaced(id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.replaced = true
	}
}

// Restarted records that another lifetime of the same instance answers at an upstream's address.
// Until the list has it, only streams that may be resumed are kept from it, since its software
// version is not known. It reports whether that was not known yet.
func (f *Fleet) Restarted(id wardturn.UpstreamID) (first bool) {
	m := f.members[id]
	if m == nil || m.restarted {
		return false
	}
	m.restarted = true
	return true
}

// AnyListed reports whether an upstream of a service is listed in the lifetime that answers, as
// far as is known.
func (f *Fleet) AnyListed(s wardturn.ServiceName) bool {
	return slices.ContainsFunc(f.services[s], func(m *Member) bool {
		return !m.restarted && !m.replaced && !m.Draining
	})
}

// Lists reports whether a lifetime is listed and not known to have ended.
func (f *Fleet) Lists(id wardturn.UpstreamID) bool {
	m := f.members[id]
	return m != nil && !m.restarted && !m.replaced
}

// refusedPause is how long an upstream that refused a connection receives no requests. It
// may be restarting, and is cold then, or a faulty network link may have refused the
// connection in its place.
const refusedPause = 400 * time.Millisecond

// ConnectionAccepted records that an upstream accepted a connection. It reports whether it is
// the first one after a refusal.
func (f *Fleet) ConnectionAccepted(id wardturn.UpstreamID) (afterRefusal bool) {
	m := f.members[id]
	if m == nil || !m.refusing {
		return false
	}
	m.refusing = false
	return true
}

// ConnectionRefused records that a connection to an upstream's address was refused. It
// reports whether this is the first refusal since it last accepted one.
func (f *Fleet) ConnectionRefused(now time.Time, id wardturn.UpstreamID) (first bool) {
	m := f.members[id]
	if m == nil {
		return false
	}
	first = !m.refusing
	m.refusing = true
	m.refusedUntil = now.Add(refusedPause)
	m.presumedColdUntil = now.Add(presumedCold)
	f.updateColdLimits(now)
	return first
}
