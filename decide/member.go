package decide

import (
	"math"
	"slices"
	"time"

	"wardturn"
)

// Member is an upstream with what this gateway knows of it.
type Member struct {
	wardturn.Member
	hash         uint64
	breaker      Breaker
	failing      float64   // share of its requests that failed lately
	latency      float64   // of its answers, in milliseconds; of plain services only
	timedAt      time.Time // of the latest of them
	running      int       // requests of this gateway under way
	bodies       int       // bytes of their bodies
	prefill      int       // tokens of prompts of those that have no byte of an answer yet
	reading      reading   // of long prompts, of all gateways
	rate         *readRate // of the engines of its service
	holding      Holding
	heldAt       time.Time // of the holding
	atHold       int       // running when the holding arrived
	held         map[wardturn.ModelAdapter]heldAdapter
	coming       int // of them, on their way from the weight store
	everHeld     map[wardturn.ModelAdapter]bool
	asks         map[wardturn.ModelAdapter]bool // adapters that this gateway has asked it for
	uses         map[wardturn.ModelAdapter]*AdapterCount
	doubts       map[wardturn.ModelAdapter]time.Time // adapters that it refused, until when that counts
	ended        bool                                // its address answers as another lifetime
	refusedUntil time.Time                           // after it refused a connection
	rest         *rest                               // that it asked for; nil: none
	coldUntil    time.Time                           // as its entry and its answers say
	coldSeen     wardturn.Position                   // position of that entry; negative: there is none
	watchUntil   time.Time                           // it may have turned cold unseen
	evacuated    bool                                // its failure domain is
}

// The costs of a choice, in milliseconds that a request is expected to lose.
const (
	// farCost stands for the price of traffic between failure domains, some
	// thirtieth of a request's worth.
	farCost = 20.0
	// runCost is what each request at an engine costs another: its prompt is
	// read and its tokens are made in the same steps.
	runCost = 3.0
	// failCost is what a request loses that has to be sent once more, or cannot.
	failCost = 500.0
	// failWeight is the weight of one request in the share that fails: some ten
	// requests show a fault.
	failWeight = 0.1
)

// best returns the member of the least cost among those that match.
func (f *Fleet) best(now time.Time, list []*Member, match func(*Member) bool) *Member {
	return cheapest(list, match, func(m *Member) float64 {
		return f.cost(now, m)
	})
}

func cheapest(list []*Member, match func(*Member) bool, cost func(*Member) float64) *Member {
	var best *Member
	least := 0.0
	for _, m := range list {
		if !match(m) {
			continue
		}
		if c := cost(m); best == nil || c < least {
			best = m
			least = c
		}
	}
	return best
}

// cost returns what a request loses at a member, and what those that run there lose
// by it.
func (f *Fleet) cost(now time.Time, m *Member) float64 {
	c := m.busyCost(now)
	if m.Domain != f.cfg.Domain {
		c += farCost
	}
	return c
}

// busyCost is cost to a gateway of any failure domain.
func (m *Member) busyCost(now time.Time) float64 {
	c := m.rate.cost(m.toRead(now)) + runCost*float64(m.load())
	return c + failCost*m.failing + m.slowness(now)
}

const (
	// latencyWeight is the weight of one answer in the usual time of answers.
	latencyWeight = 0.2
	// latencyFade is the time constant with which that is forgotten: an upstream
	// that was slow is tried again after a few seconds.
	latencyFade = 2 * time.Second
	// fullLatency stands for a refusal for want of a place, in milliseconds: the
	// request has to be sent once more.
	fullLatency = 100.0
)

// Timed records how long a plain upstream took to answer.
func (f *Fleet) Timed(now time.Time, id wardturn.UpstreamID, took time.Duration) {
	f.timed(now, id, float64(took)/float64(time.Millisecond))
}

// Full records that a plain upstream refused a request for want of a place. Other
// gateways fill it, whose requests nobody here sees.
func (f *Fleet) Full(now time.Time, id wardturn.UpstreamID) {
	f.timed(now, id, fullLatency)
}

func (f *Fleet) timed(now time.Time, id wardturn.UpstreamID, took float64) {
	m := f.members[id]
	if m == nil {
		return
	}
	m.latency = m.slowness(now)
	m.latency += latencyWeight * (took - m.latency)
	m.timedAt = now
}

// slowness returns the usual time of answers, as far as it is still believed.
func (m *Member) slowness(now time.Time) float64 {
	if m.latency == 0 {
		return 0
	}
	return m.latency * math.Exp(-now.Sub(m.timedAt).Seconds()/latencyFade.Seconds())
}

// fill is the load as a part of what the member works on at once.
func (m *Member) fill() float64 {
	return float64(m.load()) / float64(max(m.Slots, 1))
}

// usable reports whether a member may be given a request.
func (m *Member) usable(now time.Time, tried []wardturn.UpstreamID) bool {
	return m.available(now) && m.rest.over(now) && !slices.Contains(tried, m.ID)
}

// open reports whether a member is to be reckoned with: it is usable, or about to be.
func (m *Member) open(now time.Time) bool {
	return m.available(now) && !m.rest.inForce(now)
}

// available is usable but for a rest and what a request has tried.
func (m *Member) available(now time.Time) bool {
	return !m.Draining && !m.evacuated && !m.ended && !now.Before(m.refusedUntil) && m.breaker.Allows(now)
}

// load estimates the requests at a member: what its keeper saw there and what
// this gateway has sent since. Without a keeper only the own ones are known.
func (m *Member) load() int {
	if !m.holding.Known {
		return m.running
	}
	return max(m.running, m.holding.Running+m.holding.Queued+m.running-m.atHold)
}

// loads reports whether an engine can be asked for adapters of a model.
func (m *Member) loads(now time.Time, model wardturn.BaseModel) bool {
	return m.open(now) && m.holding.Connected && m.holding.Known && slices.Contains(m.holding.Models, model)
}

// Misplaced records that an upstream's address answers as another lifetime: this
// one has ended, whatever the list says.
func (f *Fleet) Misplaced(id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.ended = true
	}
}

// refusedFor is how long an upstream that refused a connection gets no requests.
// It may be starting again, and is cold then, or a link in trouble may have answered for it.
const refusedFor = 400 * time.Millisecond

// Refused records that nothing listens at an upstream's address.
func (f *Fleet) Refused(now time.Time, id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.refusedUntil = now.Add(refusedFor)
		m.watchUntil = now.Add(coldWatch)
		f.limitCold(now)
	}
}
