package gateway

import (
	"context"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// news shares what the gateways read from the platform's store: each tells the
// others of its readings, through two keepers in each failure domain, and reads itself only when its
// turn comes. Nothing depends on it but the number of calls: a gateway that hears
// nothing reads as if it were alone.
type news struct {
	g       *Gateway
	changes chan toldMembers // for the goroutine that follows the list

	mu       sync.Mutex
	woken    chan struct{} // closed and replaced when a turn may have changed
	config   *decide.ReadTurn
	configTo wardturn.Position // up to which the configuration was read
	members  *decide.ReadTurn
}

// toldMembers is a change of the list that another gateway has read.
type toldMembers struct {
	change wardturn.MemberChange
	asOf   time.Time // of that reading; zero: not known
}

// changesKept is how many changes heard may wait; one more is dropped, and the
// gap makes the gateway read.
const changesKept = 32

// mostTold is how many upstreams a change may have that is told to others: long ones
// that wait to be passed on to all gateways take keepers beyond their memory, and one
// reading of the store each costs less.
const mostTold = 64

// shortened returns a change as it is told: of a long one only how far it goes, so
// that others read it themselves.
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

// wake has the waiting goroutines look at their turns again; the lock is held.
func (n *news) wake() {
	close(n.woken)
	n.woken = make(chan struct{})
}

// await waits until a turn is due. It reports false when the gateway ends.
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

// look returns whether a turn is due; if not, a context that ends when it is, or at a
// time, if that is not zero, and a channel that is closed when that has to be looked at
// again.
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

// awaitMembers waits for a change of the list that another gateway has read, or until the
// list has to be read here, which due reports, or until a time, if that is not zero. It
// reports false when the gateway ends.
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

// configKnown returns a time at which the configuration was as it is known here;
// zero before the first reading.
func (n *news) configKnown() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.AsOf()
}

// readsForAll reports whether this gateway reads the configuration for the others.
func (n *news) readsForAll() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Reads(n.g.clock.Now())
}

// readConfig records and tells that the configuration was read up to a position.
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

// beganConfig records that a reading of the configuration begins.
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

// readMembers records a reading of the list and tells the change, unless it is
// nil.
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

// failed records that a reading had no answer.
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

// ages tells the metrics how old the knowledge of the records is.
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
		// A gateway that does not get it reads by itself.
		_ = c.Send(m)
	}
}

// receive takes a message of another gateway.
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
		n.config.Doubt(now) // a change that is not in force here
		n.wake()
		return
	}
	n.g.metrics.config.heard.Inc(1)
	n.config.Heard(now, m.Reader, m.Stamp)
	n.wake()
}

// receiveMembers hands a change of the list on; the lock is held. If that cannot be
// taken, the list counts as out of date.
func (n *news) receiveMembers(now time.Time, m *peer.StoreNews) {
	if m.Members.From < 0 {
		// The change is too long to be told. The list is read when its turn comes: read at
		// once by all that hear of it, while hundreds of upstreams enter, it would have all
		// tell the same and read again.
		n.members.Present(now, m.Reader)
		return
	}
	defer n.wake()
	if len(n.changes) == cap(n.changes) { // nobody else adds to them while the lock is held
		n.members.Doubt(now)
		return
	}
	n.g.metrics.members.heard.Inc(1)
	n.changes <- toldMembers{
		change: *m.Members,
		asOf:   n.members.Heard(now, m.Reader, m.Stamp),
	}
}
