package decide

import (
	"time"

	"wardturn"
)

// Limits enforces the rate limits that overloaded upstreams announce in their responses,
// over all gateways together. Each gateway uses a fixed share of a limit and never more,
// whatever the others use, so the bound needs no coordination and holds through network
// partitions and restarts.
//
// Where many gateways share a small limit, one request from each at the same moment would
// already exceed it. So only a subset of the gateways, which differs from upstream to
// upstream, sends to a limited upstream; the others route their requests elsewhere.
type Limits struct {
	self        wardturn.Incarnation
	hash        uint64
	start       time.Time // origin of the Stamp of sent messages
	gateways    GatewayCount
	coldCfg     ColdConfig
	upstreams   map[string]*upstreamLimit
	cold        map[string]*coldLimit
	expectsCold bool // upstreams may become cold, so gateways must already know each other
	others      map[wardturn.Incarnation]*limitPeer
	lags        minLags
	seq         uint64
	announcedAt time.Time // time of the latest message sent
	sharesAt    time.Time // when the shares were last computed
}

const (
	// limitSendersPerRate and limitExtraSenders set how many gateways may send to a
	// limited upstream: limitSendersPerRate for each request a second of the limit, plus
	// limitExtraSenders. If each sends one request at once on top of 4 s at the limit, an
	// upstream with a limit of R gets at most 5.5 R + 2 requests in any 4 s.
	limitSendersPerRate = 1.5
	limitExtraSenders   = 2
	// minLimit is the lower bound of a limit, in requests a second. Without any requests
	// the gateways would not learn that the limit has ended.
	minLimit = 0.5
	// limitBurst is the burst size, in seconds of a gateway's share of the limit.
	limitBurst = 0.25
	// limitEndDelay is how long an upstream's responses must carry no limit before the
	// limit ends. A single response without one may come from an intermediary.
	limitEndDelay = time.Second
	// limitEndResponses is the minimum number of consecutive responses without a limit that
	// end it.
	limitEndResponses = 2
	// minProbeAge is the minimum age of the latest known response before a gateway
	// without a share of the limit sends a probe request. It may have missed the end of
	// the limit.
	minProbeAge = 10 * time.Second
	// shareInterval is the minimum interval between two computations of the shares.
	shareInterval = 100 * time.Millisecond
)

// upstreamLimit is the limit that one upstream announces. A limit that has ended is kept
// with rate zero.
type upstreamLimit struct {
	sharedRate
	observedAt         time.Time // approximate time of the latest response that carries the limit
	unlimitedSince     time.Time // first response without a limit since observedAt
	unlimitedResponses int       // number of responses without a limit since observedAt
	endedAt            time.Time // time of the response that ended the previous limit
	probedAt           time.Time
	// probeAfter is the age of the latest response after which a gateway with a zero share
	// sends a probe request.
	probeAfter   time.Duration
	dirty        bool      // changed since the latest announcement
	announcedAt  time.Time // time of the latest announcement by any gateway
	announcedFor time.Time // time of the latest response that was announced
}

// NewLimits returns an empty set of limits for the gateway process self.
func NewLimits(now time.Time, self wardturn.Incarnation) *Limits {
	return &Limits{
		cold:      make(map[string]*coldLimit),
		self:      self,
		hash:      hashString(string(self)),
		start:     now,
		upstreams: make(map[string]*upstreamLimit),
		others:    make(map[wardturn.Incarnation]*limitPeer),
		lags:      make(minLags),
	}
}

// SetGateways sets the number of gateways counted by keepers, or zero if no keeper is
// reachable.
func (l *Limits) SetGateways(now time.Time, counted int) {
	l.gateways.Update(now, counted)
	l.updateShares(now)
}

// SetPreviousGateways sets the number of gateways known before this process started.
// Keepers that start at the same time count gateways from one up, so without it each
// gateway would assume that it is the only one.
func (l *Limits) SetPreviousGateways(now time.Time, gateways int) {
	l.SetGateways(now, gateways)
}

// Observe records a response that carries a limit and reports whether the limit changed.
func (l *Limits) Observe(now time.Time, id wardturn.UpstreamID, rate wardturn.RequestRate) (changed bool) {
	r := max(float64(rate), minLimit)
	u := l.entry(id)
	changed = u.rate != r
	u.dirty = u.dirty || changed
	l.set(now, u, now, r)
	return changed
}

// ObserveUnparsed records a response whose limit cannot be parsed. A known limit stays in
// force.
func (l *Limits) ObserveUnparsed(now time.Time, id wardturn.UpstreamID) {
	if u := l.upstreams[id.Instance()]; u != nil && u.rate > 0 {
		u.confirm(now)
	}
}

// ObserveNone records a response without a limit to a request sent at the given time, and
// reports whether it ends a limit. Responses to requests sent before the latest response
// that carries the limit are ignored.
func (l *Limits) ObserveNone(now time.Time, id wardturn.UpstreamID, sent time.Time) (ended bool) {
	u := l.upstreams[id.Instance()]
	if u == nil || u.rate == 0 || !sent.After(u.observedAt) {
		return false
	}
	if u.unlimitedResponses == 0 {
		u.unlimitedSince = now
	}
	u.unlimitedResponses++
	if u.unlimitedResponses < limitEndResponses || now.Sub(u.unlimitedSince) < limitEndDelay {
		return false
	}
	u.end(u.unlimitedSince)
	u.dirty = true
	return true
}

// Any reports whether any upstream announces a limit.
func (l *Limits) Any() bool {
	for _, u := range l.upstreams {
		if u.rate > 0 {
			return true
		}
	}
	return false
}

// Limited reports whether an upstream announces a limit.
func (l *Limits) Limited(id wardturn.UpstreamID) bool {
	return l.inForce(id) != nil
}

// Bounded reports whether an upstream announces a limit or is cold.
func (l *Limits) Bounded(now time.Time, id wardturn.UpstreamID) bool {
	return l.Limited(id) || l.coldOf(now, id) != nil
}

// Allows reports whether an upstream may be sent a request now.
func (l *Limits) Allows(now time.Time, id wardturn.UpstreamID) bool {
	l.updateShares(now)
	if c := l.coldOf(now, id); c != nil && !c.allows(now) {
		return false
	}
	u := l.inForce(id)
	return u == nil || u.allows(now) || u.mayProbe(now)
}

// Sent records that a request is sent to an upstream. It counts against the limit even if
// it fails, since the upstream may have received it.
func (l *Limits) Sent(now time.Time, id wardturn.UpstreamID) {
	if c := l.coldOf(now, id); c != nil {
		c.spend(now)
	}
	u := l.inForce(id)
	if u == nil {
		return
	}
	if !u.allows(now) {
		u.probedAt = now
	}
	u.spend(now)
}

// RetryDelay returns the delay after which a refused caller's retry may be sent to an
// upstream, behind the retries already reserved with ReserveRetry. It returns false if the
// delay is unknown.
func (l *Limits) RetryDelay(now time.Time, id wardturn.UpstreamID) (time.Duration, bool) {
	wait, known := time.Duration(0), true
	if c := l.coldOf(now, id); c != nil {
		wait, known = c.retryDelay(now)
		if !known {
			wait, known = c.until.Sub(now), true
		}
	}
	u := l.inForce(id)
	if u == nil {
		return wait, known
	}
	limitWait, known := u.retryDelay(now)
	return max(wait, limitWait), known
}

// ReserveRetry reserves capacity at an upstream for the retry of a refused caller.
func (l *Limits) ReserveRetry(now time.Time, id wardturn.UpstreamID) {
	if c := l.coldOf(now, id); c != nil {
		c.reserved++
	}
	if u := l.inForce(id); u != nil {
		u.reserved++
	}
}

// Retain drops the limits of upstreams that have been absent for gatewayCountRetention.
// They are kept until then because a list read while the store was unavailable may be
// incomplete.
func (l *Limits) Retain(now time.Time, present func(instance string) bool) {
	for instance, u := range l.upstreams {
		if !present(instance) && now.Sub(latest(u.observedAt, u.endedAt)) > gatewayCountRetention {
			delete(l.upstreams, instance)
		}
	}
	for instance, c := range l.cold {
		if !now.Before(c.until) {
			delete(l.cold, instance)
		}
	}
}

// inForce returns the limit of an upstream, or nil if there is none. The limit of an
// upstream that restarts under the same name stays in force until its responses end it.
func (l *Limits) inForce(id wardturn.UpstreamID) *upstreamLimit {
	if len(l.upstreams) == 0 {
		return nil
	}
	if u := l.upstreams[id.Instance()]; u != nil && u.rate > 0 {
		return u
	}
	return nil
}

// entry returns the entry of an upstream, creating it if necessary.
func (l *Limits) entry(id wardturn.UpstreamID) *upstreamLimit {
	u := l.upstreams[id.Instance()]
	if u == nil {
		u = newUpstreamLimit()
		l.upstreams[id.Instance()] = u
	}
	return u
}

func newUpstreamLimit() *upstreamLimit {
	return &upstreamLimit{
		sharedRate: sharedRate{
			burst: limitBurst,
		},
	}
}

// set stores a limit from a response given at the time observed. A new limit starts with an
// empty bucket.
func (l *Limits) set(now time.Time, u *upstreamLimit, observed time.Time, rate float64) {
	if u.rate == 0 {
		u.level = 0
		u.reserved = 0
		u.share = 0
		u.at = now
		u.probedAt = now
	}
	u.confirm(observed)
	if u.rate == rate {
		return
	}
	u.refill(now)
	u.rate = rate
	l.sharesAt = time.Time{}
	l.updateShares(now)
}

// confirm records that a response given at the time observed carried the limit.
func (u *upstreamLimit) confirm(observed time.Time) {
	u.observedAt = latest(u.observedAt, observed)
	if observed.After(u.unlimitedSince) {
		u.unlimitedResponses = 0
	}
}

// end ends a limit because of a response given at the time at.
func (u *upstreamLimit) end(at time.Time) {
	u.rate = 0
	u.unlimitedResponses = 0
	u.endedAt = at
}

// mayProbe reports whether a gateway without a share of the limit may send a request to
// find out whether the limit is still in force.
func (u *upstreamLimit) mayProbe(now time.Time) bool {
	return u.share == 0 && now.Sub(latest(u.observedAt, u.probedAt)) > u.probeAfter
}

// updateShares computes this gateway's shares of all limits, at most once per
// shareInterval.
func (l *Limits) updateShares(now time.Time) {
	if len(l.upstreams)+len(l.cold) == 0 || now.Sub(l.sharesAt) < shareInterval {
		return
	}
	l.sharesAt = now
	l.forget(now)
	for instance, u := range l.upstreams {
		if u.rate == 0 {
			continue
		}
		u.setShare(now, l.shareOf(instance, limitExtraSenders+int(limitSendersPerRate*u.rate)))
		if u.share == 0 {
			u.probeAfter = l.probeAfter(instance)
		}
	}
	for instance, c := range l.cold {
		c.setShare(now, l.shareOf(instance, l.coldCfg.senders(c.rate)))
	}
}

// shareOf returns this gateway's share of the limit of an upstream to which the given
// number of gateways may send. If only some of the counted gateways are known here, the
// known ones take a proportional part of the senders, since the unknown ones may have
// shares as well.
func (l *Limits) shareOf(instance string, senders int) float64 {
	if l.gateways.highest == 0 {
		return 0
	}
	if senders >= l.gateways.highest {
		return 1 / float64(l.gateways.highest)
	}
	known := min(1+len(l.others), l.gateways.highest)
	if l.rank(instance) >= senders*known/l.gateways.highest {
		return 0
	}
	return 1 / float64(senders)
}

// probeAfter returns the age of the latest response on a limit after which this gateway
// probes if it has no share. The interval grows with the number of gateways, so that those
// without a share together send at most one request per 1/minLimit seconds, and is
// spread by a hash so that they probe at different times.
func (l *Limits) probeAfter(instance string) time.Duration {
	each := time.Duration(float64(l.gateways.highest) / minLimit * float64(time.Second))
	spread := 1 + float64(mix(hashString(instance)^l.hash))/(1<<64)
	return time.Duration(spread * float64(max(minProbeAge, each)))
}

// rank returns the position of this gateway among the known ones, in an order that differs
// from upstream to upstream (rendezvous hashing).
func (l *Limits) rank(instance string) int {
	h := hashString(instance)
	own := mix(h ^ l.hash)
	rank := 0
	for _, o := range l.others {
		if mix(h^o.hash) > own {
			rank++
		}
	}
	return rank
}
