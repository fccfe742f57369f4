package decide

import (
	"maps"
	"math"
	"time"

	"wardturn"
)

// PlainLoads is the load that all gateways together put on the upstreams of plain services.
// From the reports of the others and its own counts a gateway knows how many requests are at
// each upstream, how long one takes, the capacity of each service and the demand by class.
// From these follow the fraction of the requests of each class that every gateway admits and
// the upstreams that get them.
//
// It handles the load of dozens of gateways, each with a small share of the traffic of a
// service that has a few upstreams with a few slots each: a limit that each gateway keeps for
// itself alone fills the upstreams until they reject a third of the requests.
type PlainLoads struct {
	self       wardturn.Incarnation
	phase      float64 // in [0, 1), differs between gateways
	gateways   int     // as counted by keepers; zero: not known
	most       GatewayCount
	services   map[wardturn.ServiceName]*plainService
	others     map[wardturn.Incarnation]*plainPeer
	reporting  int // others whose reports count as current
	seq        uint64
	reportedAt time.Time
	interval   time.Duration // of own reports
	promised   time.Duration // interval told with the latest report
	idleSent   int           // reports without load sent since the last one with load
	reportSize int           // estimated size of the latest report in bytes
	sweptAt    time.Time
	start      time.Time // when the gateway began to listen
	disabled   bool
}

// plainService is the state of one plain service.
type plainService struct {
	name        wardturn.ServiceName
	upstreams   []*plainUpstream
	offered     [plainClasses]decayedCount // by callers of this gateway
	others      [plainClasses]float64      // requests per second at the others
	credit      [plainClasses]float64      // error diffusion of the admitted fraction
	view        plainView
	viewAt      time.Time
	waiting     []*PendingRequest      // by class, then deadline
	pace        float64                // waiting requests that may be sent now
	returning   map[uint32]plainReturn // by digest of the content
	refused     []plainRefusal         // told to the others with the next reports
	toReturn    []time.Time            // when the callers refused here come back
	rejectedAt  time.Time              // latest rejection at any gateway
	objective   time.Duration          // shortest objective of the recent requests
	objectiveAt time.Time              // latest request with that objective
	pacedAt     time.Time              // when pace was last updated
}

// plainReturn is a refused content whose caller may send it again. Identical requests share a
// content, so one refusal makes one of them late.
type plainReturn struct {
	at   time.Time // of the refusal, as first known here
	used bool      // a request was taken as the return
}

type plainRefusal struct {
	content uint32
	at      time.Time
}

// plainView is what a gateway derives from the counts of all gateways.
type plainView struct {
	active     bool // requests are admitted by this view
	slots      float64
	inFlight   float64
	capacity   float64 // requests per second
	admitted   float64 // requests per second that all gateways together should admit
	demand     float64 // of the requests that can be in time
	timePerReq time.Duration
	trust      float64               // in the reported requests in flight, from 0 to 1
	byClass    [plainClasses]float64 // demand
	fraction   [plainClasses]float64 // of the requests of a class to admit
	share      float64               // this gateway's part of the demand
}

// plainUpstream is the load of one upstream.
type plainUpstream struct {
	member *Member
	digest uint32

	// Of this gateway.
	inFlight     int
	responses    uint32
	responseTime time.Duration
	rejections   uint32
	// ownLimit is the limit of this gateway's requests in flight while it hears no other
	// gateway; zero: none.
	ownLimit   float64
	ownLimitAt time.Time

	// Of all gateways.
	othersInFlight float64
	total          float64      // requests in flight
	busy           decayedCount // slot seconds in use
	served         decayedCount // responses
	waitedFor      decayedCount // seconds from sending to the response, summed
	progressAt     time.Time    // when a response was last known
	busySince      time.Time    // when it was last without a request in flight
	emptySince     time.Time    // when the last request in flight ended; zero: some are
	stalled        bool
	trial          bool    // this gateway has a trial request there
	ceiling        float64 // requests in flight at which it rejects, as observed; zero: not known
	ceilingAt      time.Time
	timePerReq     time.Duration
	rate           float64 // requests per second that it should get
	credit         float64 // weighted round robin by rate
}

// decayedCount is a sum that decays with the time constant memory, which its methods get. The
// zero value is ready to use.
type decayedCount struct {
	sum   float64
	at    time.Time
	since time.Time
}

// add adds to the sum.
func (c *decayedCount) add(now time.Time, memory time.Duration, n float64) {
	if c.since.IsZero() {
		c.since = now
	}
	c.sum = c.value(now, memory) + n
	c.at = now
}

func (c *decayedCount) value(now time.Time, memory time.Duration) float64 {
	if c.sum == 0 {
		return 0
	}
	return c.sum * math.Exp(-now.Sub(c.at).Seconds()/memory.Seconds())
}

// rate returns the additions per second. The window of a new count is at least a quarter of
// the memory, so that its first additions do not count as a high rate.
func (c *decayedCount) rate(now time.Time, memory time.Duration) float64 {
	if c.sum == 0 {
		return 0
	}
	window := memory.Seconds() * (1 - math.Exp(-now.Sub(c.since).Seconds()/memory.Seconds()))
	return c.value(now, memory) / max(window, memory.Seconds()/4)
}

const (
	// plainMemory is the time constant of the time per request.
	plainMemory = 3 * time.Second
	// minDemandMemory is the shortest time constant of the offered rate. Demand rises within
	// seconds.
	minDemandMemory = time.Second
)

// NewPlainLoads returns the loads as known by a gateway process that has heard nobody yet.
func NewPlainLoads(now time.Time, self wardturn.Incarnation) *PlainLoads {
	phase := float64(hashString(string(self))) / (1 << 64)
	return &PlainLoads{
		self:     self,
		phase:    phase,
		services: make(map[wardturn.ServiceName]*plainService),
		others:   make(map[wardturn.Incarnation]*plainPeer),
		interval: plainIdleInterval,
		start:    now,
		// Gateways that start together report at different times.
		reportedAt: now.Add(time.Duration(phase * float64(plainIdleInterval))),
		promised:   plainIdleInterval,
	}
}

// Disable has the gateway ignore the reports of the others, as it does where there are no
// keepers.
func (p *PlainLoads) Disable() {
	p.disabled = true
}

// SetGateways sets the number of gateways counted by keepers, or zero if no keeper is
// reachable.
func (p *PlainLoads) SetGateways(now time.Time, counted int) {
	p.gateways = counted
	p.most.Update(now, counted)
}

// service returns the state of a service, which is created if needed.
func (p *PlainLoads) service(name wardturn.ServiceName) *plainService {
	s := p.services[name]
	if s == nil {
		s = &plainService{
			name:      name,
			returning: make(map[uint32]plainReturn),
		}
		for c := range s.credit {
			s.credit[c] = p.phase
		}
		p.services[name] = s
	}
	return s
}

// setMembers sets the upstreams of a service. Slots are taken from the members at each
// decision.
func (p *PlainLoads) setMembers(name wardturn.ServiceName, members []*Member) {
	s := p.service(name)
	s.upstreams = s.upstreams[:0]
	for _, m := range members {
		if m.plain == nil {
			digest := PlainDigest(string(m.ID))
			m.plain = &plainUpstream{
				member: m,
				digest: digest,
				credit: math.Mod(p.phase+float64(digest)/(1<<32), 1),
			}
		}
		s.upstreams = append(s.upstreams, m.plain)
	}
	s.viewAt = time.Time{}
	p.sumOthers(s)
}

// retain forgets the services that are not listed, unless requests wait for them.
func (p *PlainLoads) retain(listed func(wardturn.ServiceName) bool) {
	maps.DeleteFunc(p.services, func(name wardturn.ServiceName, s *plainService) bool {
		return len(s.waiting) == 0 && !listed(name)
	})
}

func (s *plainService) upstream(digest uint32) *plainUpstream {
	for _, u := range s.upstreams {
		if u.digest == digest {
			return u
		}
	}
	return nil
}

// PlainDigest returns the digest by which reports name an upstream or a content.
func PlainDigest(text string) uint32 {
	return uint32(hashString(text) >> 32)
}

// slots returns the number of requests that the upstream processes at once.
func (u *plainUpstream) slots() float64 {
	return float64(max(u.member.Slots, 1))
}

// sent records that this gateway sends a request.
func (u *plainUpstream) sent(now time.Time) {
	u.inFlight++
	u.total++
	u.noteLoad(now)
}

// ended records the end of a request of this gateway.
func (u *plainUpstream) ended(now time.Time) {
	u.inFlight = max(0, u.inFlight-1)
	u.trial = u.trial && u.inFlight > 0
	u.total = max(0, u.total-1)
	u.noteLoad(now)
}

// noteLoad updates since when the upstream is empty or has requests.
func (u *plainUpstream) noteLoad(now time.Time) {
	if u.total < minPlainLoad {
		u.busySince = time.Time{}
		if u.emptySince.IsZero() {
			u.emptySince = now
		}
		return
	}
	u.emptySince = time.Time{}
	if u.busySince.IsZero() {
		u.busySince = now
	}
}

// minPlainLoad is the load below which an upstream counts as empty. Fractions remain from
// gateways whose reports fade.
const minPlainLoad = 0.5

// responded records responses that took a time in total.
func (u *plainUpstream) responded(now time.Time, n float64, took time.Duration) {
	if u.stalled {
		u.stalled = false
		u.busy, u.served, u.waitedFor = decayedCount{}, decayedCount{}, decayedCount{}
		// The upstream answers again, so the failures of requests that it left
		// unanswered say nothing any more.
		u.member.breaker.Succeed()
	}
	u.progressAt = now
	u.served.add(now, plainMemory, n)
	u.waitedFor.add(now, plainMemory, took.Seconds())
}

// rejected records that the upstream rejected requests for lack of capacity.
func (s *plainService) rejected(now time.Time, u *plainUpstream) {
	s.rejectedAt = now
	u.progressAt = now
	u.ceiling = max(u.slots(), ceilingFactor*min(max(u.total, s.expected(now, u)), u.ceilingNow(now)))
	u.ceilingAt = now
}

const (
	// ceilingFactor relates the allowed requests in flight to those at a rejection, because
	// the reports of others are late.
	ceilingFactor = 0.9
	// ceilingGrowth is the growth of the ceiling per second, as a fraction of the slots.
	ceilingGrowth = 0.5
)

// ceilingNow returns the number of requests in flight that the upstream is expected to
// accept. It grows with time, since the upstream may have got room for more.
func (u *plainUpstream) ceilingNow(now time.Time) float64 {
	if u.ceiling == 0 {
		return math.Inf(1)
	}
	return u.ceiling + ceilingGrowth*u.slots()*now.Sub(u.ceilingAt).Seconds()
}

// ResponseTimed records a response to a request of this gateway.
func (p *PlainLoads) ResponseTimed(now time.Time, m *Member, took time.Duration) {
	if m == nil || m.plain == nil {
		return
	}
	m.plain.responses++
	m.plain.responseTime += took
	m.plain.responded(now, 1, took)
}

// Rejected records that an upstream rejected a request of this gateway for lack of capacity.
func (p *PlainLoads) Rejected(now time.Time, m *Member) {
	if m == nil || m.plain == nil {
		return
	}
	s := p.service(m.Service)
	m.plain.rejections++
	s.rejected(now, m.plain)
	// An upstream that asked for a backoff gets nothing until it ends.
	if !s.view.active && !m.backoff.inForce(now) {
		m.plain.lowerOwnLimit(now)
	}
}
