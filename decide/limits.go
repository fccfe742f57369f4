package decide

import (
	"time"

	"wardturn"
)

// Limits keeps the requests a second that upstreams in need say they take, over all
// gateways together. Each gateway spends a fixed part of a limit and never more, whatever
// the others use: the bound holds without a message between them, through cuts and restarts.
//
// A request can't be divided: where many gateways share a small limit, one request of
// each at the same moment is more than the upstream takes. So only some of them, who
// differ from upstream to upstream, send it anything; the others go elsewhere.
type Limits struct {
	self        wardturn.Incarnation
	hash        uint64
	start       time.Time // stamps of messages count from here
	gateways    GatewayCount
	coldCfg     ColdConfig
	named       map[string]*namedLimit
	cold        map[string]*coldLimit
	expects     bool // upstreams may turn out to be cold: the other gateways have to be known by then
	others      map[wardturn.Incarnation]*limitPeer
	lags        leastLags
	seq         uint64
	announcedAt time.Time // of the latest message
	sharedAt    time.Time // parts were worked out
}

const (
	// limitSenders and limitSpare are how many gateways may send: so many for each request
	// a second, and so many more. With a request of each at once on top of 4 s at the
	// limit, an upstream that names R gets at most 5.5 R + 2 in any 4 s.
	limitSenders = 1.5
	limitSpare   = 2
	// leastLimit is the least rate, in requests a second, that a limit comes to: without
	// any request nobody would learn that it is over.
	leastLimit = 0.5
	// limitBurst is what may be sent at once, in seconds of a gateway's part.
	limitBurst = 0.25
	// liftAfter is how long an upstream's answers have to name no limit before it is
	// over; one answer without it may come from something in between.
	liftAfter = time.Second
	// liftAnswers is how many answers have to, at least.
	liftAnswers = 2
	// limitProbe is how old the latest answer that is known has to be at least before a
	// gateway without a part of the limit sends one request: it may have missed the end.
	limitProbe = 10 * time.Second
	// limitShares is how often parts are worked out anew.
	limitShares = 100 * time.Millisecond
)

// namedLimit is the limit of one upstream, or the memory of one that is over.
type namedLimit struct {
	sharedRate
	namedAt  time.Time // the latest answer that names it was given about then
	clearAt  time.Time // first of the answers since then that name none; zero: there is none
	clear    int       // such answers
	liftedAt time.Time // such an answer ended the limit before
	probedAt time.Time
	// probeAfter is how old the latest answer may be while the share is zero.
	probeAfter   time.Duration
	dirty        bool      // to be announced at once
	announcedAt  time.Time // by any gateway
	announcedFor time.Time // the latest answer that was announced
}

// NewLimits returns limits of no upstream, for a gateway's process.
func NewLimits(now time.Time, self wardturn.Incarnation) *Limits {
	return &Limits{
		cold:   make(map[string]*coldLimit),
		self:   self,
		hash:   hashString(string(self)),
		start:  now,
		named:  make(map[string]*namedLimit),
		others: make(map[wardturn.Incarnation]*limitPeer),
		lags:   make(leastLags),
	}
}

// SetGateways takes the number of gateways, as keepers count them; zero: no keeper is
// heard.
func (l *Limits) SetGateways(now time.Time, counted int) {
	l.gateways.Take(now, counted)
	l.share(now)
}

// Recall takes how many gateways there were before this one started. Keepers that start as
// well count from one on, and each gateway would take itself for the only one.
func (l *Limits) Recall(now time.Time, gateways int) {
	l.SetGateways(now, gateways)
}

// Observe takes an answer that names a limit and reports whether that is another than
// was known.
func (l *Limits) Observe(now time.Time, id wardturn.UpstreamID, rate wardturn.RequestRate) (changed bool) {
	r := max(float64(rate), leastLimit)
	n := l.limit(id)
	changed = n.rate != r
	n.dirty = n.dirty || changed
	l.set(now, n, now, r)
	return changed
}

// ObserveUnclear takes an answer that names a limit which can't be read: the one that is known
// stays.
func (l *Limits) ObserveUnclear(now time.Time, id wardturn.UpstreamID) {
	if n := l.named[id.Instance()]; n != nil && n.rate > 0 {
		n.confirm(now)
	}
}

// ObserveNone takes an answer that names no limit, to a request that was sent at a time. It
// reports whether that ends one: answers to requests that were sent before the latest
// that names it say nothing.
func (l *Limits) ObserveNone(now time.Time, id wardturn.UpstreamID, sent time.Time) (ended bool) {
	n := l.named[id.Instance()]
	if n == nil || n.rate == 0 || !sent.After(n.namedAt) {
		return false
	}
	if n.clear == 0 {
		n.clearAt = now
	}
	n.clear++
	if n.clear < liftAnswers || now.Sub(n.clearAt) < liftAfter {
		return false
	}
	n.lift(n.clearAt)
	n.dirty = true
	return true
}

// Any reports whether some upstream names a limit.
func (l *Limits) Any() bool {
	for _, n := range l.named {
		if n.rate > 0 {
			return true
		}
	}
	return false
}

// Limited reports whether an upstream names a limit.
func (l *Limits) Limited(id wardturn.UpstreamID) bool {
	return l.of(id) != nil
}

// Bounded reports whether an upstream names a limit or is cold.
func (l *Limits) Bounded(now time.Time, id wardturn.UpstreamID) bool {
	return l.Limited(id) || l.coldOf(now, id) != nil
}

// Allows reports whether an upstream may be sent a request now.
func (l *Limits) Allows(now time.Time, id wardturn.UpstreamID) bool {
	l.share(now)
	if c := l.coldOf(now, id); c != nil && !c.allows(now) {
		return false
	}
	n := l.of(id)
	return n == nil || n.allows(now) || n.probes(now)
}

// Sent records that a request goes to an upstream. Whatever becomes of it, the upstream
// may get it.
func (l *Limits) Sent(now time.Time, id wardturn.UpstreamID) {
	if c := l.coldOf(now, id); c != nil {
		c.spend(now)
	}
	n := l.of(id)
	if n == nil {
		return
	}
	if !n.allows(now) {
		n.probedAt = now
	}
	n.spend(now)
}

// RoomIn returns when an upstream may be sent the request of a caller that comes back
// then, after those that were told before; false: not as far as is known.
func (l *Limits) RoomIn(now time.Time, id wardturn.UpstreamID) (time.Duration, bool) {
	wait, known := time.Duration(0), true
	if c := l.coldOf(now, id); c != nil {
		wait, known = c.roomIn(now)
		if !known {
			wait, known = c.until.Sub(now), true
		}
	}
	n := l.of(id)
	if n == nil {
		return wait, known
	}
	named, known := n.roomIn(now)
	return max(wait, named), known
}

// Owe records that a caller was told to come back for an upstream.
func (l *Limits) Owe(now time.Time, id wardturn.UpstreamID) {
	if c := l.coldOf(now, id); c != nil {
		c.owed++
	}
	if n := l.of(id); n != nil {
		n.owed++
	}
}

// Keep forgets the limits of upstreams that have been gone for long: a list that was read
// while the store was away may lack some for a while.
func (l *Limits) Keep(now time.Time, present func(instance string) bool) {
	for instance, n := range l.named {
		if !present(instance) && now.Sub(latest(n.namedAt, n.liftedAt)) > gatewaysMemory {
			delete(l.named, instance)
		}
	}
	for instance, c := range l.cold {
		if !now.Before(c.until) {
			delete(l.cold, instance)
		}
	}
}

// of returns the limit of an upstream, or nil if it names none. A worker that starts
// again under its name is taken to need it still, until its answers tell otherwise.
func (l *Limits) of(id wardturn.UpstreamID) *namedLimit {
	if len(l.named) == 0 {
		return nil
	}
	if n := l.named[id.Instance()]; n != nil && n.rate > 0 {
		return n
	}
	return nil
}

// limit returns what is kept of an upstream.
func (l *Limits) limit(id wardturn.UpstreamID) *namedLimit {
	n := l.named[id.Instance()]
	if n == nil {
		n = newNamedLimit()
		l.named[id.Instance()] = n
	}
	return n
}

func newNamedLimit() *namedLimit {
	return &namedLimit{
		sharedRate: sharedRate{
			burst: limitBurst,
		},
	}
}

// set takes a limit that an upstream named at a time. It begins with nothing to spend.
func (l *Limits) set(now time.Time, n *namedLimit, named time.Time, rate float64) {
	if n.rate == 0 {
		n.level = 0
		n.owed = 0
		n.share = 0
		n.at = now
		n.probedAt = now
	}
	n.confirm(named)
	if n.rate == rate {
		return
	}
	n.fill(now)
	n.rate = rate
	l.sharedAt = time.Time{}
	l.share(now)
}

// confirm records that a limit was named at a time.
func (n *namedLimit) confirm(named time.Time) {
	n.namedAt = latest(n.namedAt, named)
	if named.After(n.clearAt) {
		n.clear = 0
	}
}

// lift ends a limit by an answer of a time.
func (n *namedLimit) lift(at time.Time) {
	n.rate = 0
	n.clear = 0
	n.liftedAt = at
}

// probes reports whether a gateway without a part of a limit may look if it still holds.
func (n *namedLimit) probes(now time.Time) bool {
	return n.share == 0 && now.Sub(latest(n.namedAt, n.probedAt)) > n.probeAfter
}

// share works out this gateway's shares of all limits, if that was not done just now.
func (l *Limits) share(now time.Time) {
	if len(l.named)+len(l.cold) == 0 || now.Sub(l.sharedAt) < limitShares {
		return
	}
	l.sharedAt = now
	l.forget(now)
	for instance, n := range l.named {
		if n.rate == 0 {
			continue
		}
		n.setShare(now, l.shareOf(instance, limitSpare+int(limitSenders*n.rate)))
		if n.share == 0 {
			n.probeAfter = l.probeAfter(instance)
		}
	}
	for instance, c := range l.cold {
		c.setShare(now, l.shareOf(instance, l.coldCfg.senders(c.rate)))
	}
}

// shareOf returns this gateway's share of the limit of an upstream to which so many
// gateways may send. Of gateways that are counted and not heard as many may have a share
// as of those that are.
func (l *Limits) shareOf(instance string, senders int) float64 {
	if l.gateways.most == 0 {
		return 0
	}
	if senders >= l.gateways.most {
		return 1 / float64(l.gateways.most)
	}
	heard := min(1+len(l.others), l.gateways.most)
	if l.rank(instance) >= senders*heard/l.gateways.most {
		return 0
	}
	return 1 / float64(senders)
}

// probeAfter returns how old the latest answer on a limit may be while this gateway has no
// part of it. All that have none come to one request in 1/leastLimit s together, each at its
// own time.
func (l *Limits) probeAfter(instance string) time.Duration {
	each := time.Duration(float64(l.gateways.most) / leastLimit * float64(time.Second))
	spread := 1 + float64(mix(hashString(instance)^l.hash))/(1<<64)
	return time.Duration(spread * float64(max(limitProbe, each)))
}

// rank returns the place of this gateway among those that are known, in an order in
// which each upstream ranks them its own way.
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
