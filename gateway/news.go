package gateway

import (
	"context"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// news coordinates the reads of the platform's store among gateways. Each gateway announces
// its reads to the others, through two keepers in each failure domain, and reads itself only
// when its schedule says so. This only reduces the number of store calls: a gateway that
// receives no announcements reads as if it were the only one.
type news struct {
	g       *Gateway
	changes chan toldMembers // consumed by followMembers

	mu       sync.Mutex
	woken    chan struct{} // closed and replaced when a schedule may have changed
	config   *decide.ReadTurn
	configTo wardturn.Position // position up to which the configuration was read
	members  *decide.ReadTurn
}

// toldMembers is a change of the list that another gateway has read.
type toldMembers struct {
	change wardturn.MemberChange
	asOf   time.Time // time of that read; zero if unknown
}

// changesKept is the capacity of the queue of announced changes. If the queue is full,
// changes are dropped and the gateway reads the list itself.
const changesKept = 32

// mostTold is the maximum number of upstreams in an announced change. Longer changes queued
// for all gateways would exceed the keepers' memory limit, and one store read per gateway is
// cheaper.
const mostTold = 64

// shortened returns the change to announce. For a long change, that is only its end
// position, so that other gateways read the change themselves.
func shortened(c *wardturn.MemberChange) *wardturn.MemberChange {
	if len(c.Changed)+len(c.Ended) <= mostTold {
		return c
	}
	return &wardturn.MemberChange{
		From: -1,
		To:   c.To,
	}
}

func newNews(g *Gateway) *news {
	now := g.clock.Now()
	every := time.Duration(membersPart * float64(g.cfg.Drain))
	return &news{
		g:       g,
		changes: make(chan toldMembers, changesKept),
		woken:   make(chan struct{}),
		config: decide.NewReadTurn(now, g.cfg.Process, decide.ReadTurnConfig{
			Every:  configWait,
			Gather: configGather,
		}),
		members: decide.NewReadTurn(now, g.cfg.Process, decide.ReadTurnConfig{
			Every: every,
			Pause: every,
			Least: membersLeast,
		}),
	}
}

// wake makes waiting goroutines re-evaluate their schedules. The caller must hold n.mu.
func (n *news) wake() {
	close(n.woken)
	n.woken = make(chan struct{})
}

// await blocks until a read is due by the schedule t. It reports false when the gateway
// shuts down.
func (n *news) await(t *decide.ReadTurn) bool {
	for n.g.tasks.Context().Err() == nil {
		limit, cancel, woken, due := n.look(t, time.Time{})
		if due {
			return true
		}
		select {
		case <-woken:
		case <-limit.Done():
		}
		cancel()
	}
	return false
}

// look reports whether a read is due by the schedule t. If not, it returns a context that
// expires when the read is due or at the time at, unless that is zero, and a channel that is
// closed when the schedule has to be evaluated again.
func (n *news) look(t *decide.ReadTurn, at time.Time) (limit context.Context, cancel context.CancelFunc, woken <-chan struct{}, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.g.clock.Now()
	left := t.DueAt(now).Sub(now)
	if left <= 0 {
		return nil, nil, nil, true
	}
	if !at.IsZero() {
		left = min(left, at.Sub(now))
	}
	limit, cancel = n.g.tasks.Limit(left)
	return limit, cancel, n.woken, false
}

// awaitMembers waits for an announced change of the list, until a read of the list is due,
// or until the given time unless that is zero. Due reports whether a read is due. The result
// ok is false when the gateway shuts down.
func (n *news) awaitMembers(until time.Time) (told *toldMembers, due, ok bool) {
	for n.g.tasks.Context().Err() == nil {
		limit, cancel, woken, due := n.look(n.members, until)
		if due {
			return nil, true, true
		}
		if !until.IsZero() && !n.g.clock.Now().Before(until) {
			cancel()
			return nil, false, true
		}
		select {
		case told := <-n.changes:
			cancel()
			return &told, false, true
		case <-woken:
		case <-limit.Done():
		}
		cancel()
	}
	return nil, false, false
}

// configKnown returns the latest time at which the local configuration is known to have been
// current, or zero before the first read.
func (n *news) configKnown() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.AsOf()
}

// readsForAll reports whether this gateway reads the configuration on behalf of the others.
func (n *news) readsForAll() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Reads(n.g.clock.Now())
}

// readConfig records and announces that the configuration was read up to a position.
func (n *news) readConfig(asOf time.Time, to wardturn.Position) {
	n.mu.Lock()
	n.configTo = to
	stamp := n.config.Read(asOf)
	n.mu.Unlock()
	n.tell(&peer.StoreNews{
		Reader:  n.g.cfg.Process,
		Stamp:   stamp,
		Config:  to,
		Crashes: n.g.crashes.reading(),
	})
}

// beganConfig records the start of a configuration read.
func (n *news) beganConfig(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.g.metrics.config.causes[n.config.Cause(now)].Inc(1)
	n.config.Began(now)
}

func (n *news) beganMembers(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.g.metrics.members.causes[n.members.Cause(now)].Inc(1)
	n.members.Began(now)
}

// readMembers records a read of the list and announces the change, unless it is nil.
func (n *news) readMembers(asOf time.Time, c *wardturn.MemberChange) {
	n.mu.Lock()
	stamp := n.members.Read(asOf)
	n.mu.Unlock()
	if c == nil {
		return
	}
	n.tell(&peer.StoreNews{
		Reader:  n.g.cfg.Process,
		Stamp:   stamp,
		Members: shortened(c),
	})
}

// failed records that a read failed.
func (n *news) failed(t *decide.ReadTurn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t.Failed(n.g.clock.Now())
}

func (n *news) doubtMembers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.Doubt(n.g.clock.Now())
	n.wake()
}

// ages updates the metrics for the age of the configuration and the list.
func (n *news) ages() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.g.clock.Now()
	n.g.metrics.config.age.Update(n.config.Age(now).Seconds())
	n.g.metrics.members.age.Update(n.members.Age(now).Seconds())
}

func (n *news) tell(m *peer.StoreNews) {
	kind := "config"
	if m.Members != nil {
		kind = "members"
	}
	for _, c := range n.g.links.newsConns(string(m.Reader) + "/" + kind) {
		// Errors are ignored: a gateway that misses an announcement reads the store itself.
		_ = c.Send(m)
	}
}

// receive handles an announcement of another gateway.
func (n *news) receive(m *peer.StoreNews) {
	if m.Reader == n.g.cfg.Process {
		return
	}
	n.g.crashes.mergeReading(m.Crashes)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.g.clock.Now()
	if m.Members != nil {
		n.receiveMembers(now, m)
		return
	}
	if m.Config > n.configTo {
		n.config.Doubt(now) // a change that has not been applied here
		n.wake()
		return
	}
	n.g.metrics.config.heard.Inc(1)
	n.config.Heard(now, m.Reader, m.Stamp)
	n.wake()
}

// receiveMembers queues an announced change of the list. If the queue is full, the list is
// marked as out of date. The caller must hold n.mu.
func (n *news) receiveMembers(now time.Time, m *peer.StoreNews) {
	if m.Members.From < 0 {
		// The change was too long to announce, so the list is read as scheduled. If all
		// gateways read it at once while hundreds of upstreams register, each would announce
		// the same change and trigger another round of reads.
		n.members.Present(now, m.Reader)
		return
	}
	defer n.wake()
	if len(n.changes) == cap(n.changes) { // no other goroutine sends on the channel while the lock is held
		n.members.Doubt(now)
		return
	}
	n.g.metrics.members.heard.Inc(1)
	n.changes <- toldMembers{
		change: *m.Members,
		asOf:   n.members.Heard(now, m.Reader, m.Stamp),
	}
}
