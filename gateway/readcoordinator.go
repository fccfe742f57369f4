package gateway

import (
	"context"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// readCoordinator coordinates the reads of the platform's store among gateways. Each
// gateway announces its reads to the others, through two keepers in each failure domain,
// and reads itself only when its schedule says so. This only reduces the number of store
// calls: a gateway that receives no announcements reads as if it were the only one.
type readCoordinator struct {
	g       *Gateway
	changes chan announcedChange // consumed by followMembers

	mu              sync.Mutex
	scheduleChanged chan struct{} // closed and replaced when a schedule may have changed
	config          *decide.ReadScheduler
	members         *decide.ReadScheduler
	records         configRecords
	software        announcedSoftware
}

// announcedChange is a change of the list that another gateway has read.
type announcedChange struct {
	change wardturn.MemberChange
	asOf   time.Time // time of that read; zero if unknown
}

// maxQueuedChanges is the capacity of the queue of announced changes. If the queue is full,
// changes are dropped and the gateway reads the list itself.
const maxQueuedChanges = 32

// maxAnnounced is the maximum number of upstreams in an announced change. Longer changes
// queued for all gateways would exceed the keepers' memory limit, and one store read per
// gateway is cheaper.
const maxAnnounced = 64

// shortened returns the change to announce. For a long change, that is only its end
// position, so that other gateways read the change themselves.
func shortened(c *wardturn.MemberChange) *wardturn.MemberChange {
	if len(c.Changed)+len(c.Expired) <= maxAnnounced {
		return c
	}
	return &wardturn.MemberChange{
		From: -1,
		To:   c.To,
	}
}

func newReadCoordinator(g *Gateway) *readCoordinator {
	now := g.clock.Now()
	interval := time.Duration(membersDrainFraction * float64(g.cfg.Drain))
	return &readCoordinator{
		g:               g,
		changes:         make(chan announcedChange, maxQueuedChanges),
		scheduleChanged: make(chan struct{}),
		records:         newConfigRecords(g.cfg.Process),
		config: decide.NewReadScheduler(now, g.cfg.Process, decide.ReadSchedulerConfig{
			MaxAge:                 configWait,
			MinInvalidatedInterval: configMinInterval,
		}),
		members: decide.NewReadScheduler(now, g.cfg.Process, decide.ReadSchedulerConfig{
			MaxAge:      interval,
			Interval:    interval,
			MinInterval: membersMinInterval,
		}),
	}
}

// notifySchedules makes waiting goroutines re-evaluate their schedules. The caller must
// hold rc.mu.
func (rc *readCoordinator) notifySchedules() {
	close(rc.scheduleChanged)
	rc.scheduleChanged = make(chan struct{})
}

// awaitRead blocks until a read is due by the schedule s. It reports false when the gateway
// shuts down.
func (rc *readCoordinator) awaitRead(s *decide.ReadScheduler) bool {
	for rc.g.tasks.Context().Err() == nil {
		limit, cancel, woken, due := rc.checkSchedule(s, time.Time{})
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

// checkSchedule reports whether a read is due by the schedule s. If not, it returns a
// context that expires when the read is due or at the time until, unless that is zero, and
// a channel that is closed when the schedule has to be evaluated again.
func (rc *readCoordinator) checkSchedule(s *decide.ReadScheduler, until time.Time) (limit context.Context, cancel context.CancelFunc, woken <-chan struct{}, due bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	now := rc.g.clock.Now()
	left := s.DueAt(now).Sub(now)
	if left <= 0 {
		return nil, nil, nil, true
	}
	if !until.IsZero() {
		left = min(left, until.Sub(now))
	}
	limit, cancel = rc.g.tasks.WithTimeout(left)
	return limit, cancel, rc.scheduleChanged, false
}

// awaitMembers waits for an announced change of the list, until a read of the list is due,
// or until the given time unless that is zero. The result due reports whether a read is
// due, and ok is false when the gateway shuts down.
func (rc *readCoordinator) awaitMembers(until time.Time) (change *announcedChange, due, ok bool) {
	for rc.g.tasks.Context().Err() == nil {
		limit, cancel, woken, due := rc.checkSchedule(rc.members, until)
		if due {
			return nil, true, true
		}
		if !until.IsZero() && !rc.g.clock.Now().Before(until) {
			cancel()
			return nil, false, true
		}
		select {
		case change := <-rc.changes:
			cancel()
			return &change, false, true
		case <-woken:
		case <-limit.Done():
		}
		cancel()
	}
	return nil, false, false
}

// configCurrentAt returns the latest time at which the local configuration is known to
// have been current, or zero before the first read.
func (rc *readCoordinator) configCurrentAt() time.Time {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.config.AsOf()
}

// readsForAll reports whether this gateway reads the configuration on behalf of the others.
func (rc *readCoordinator) readsForAll() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.config.IsLeader(rc.g.clock.Now())
}

// startConfigRead records the start of a configuration read.
func (rc *readCoordinator) startConfigRead(now time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.g.metrics.config.causes[rc.config.Cause(now)].Inc(1)
	rc.config.ReadStarted(now)
}

func (rc *readCoordinator) startMembersRead(now time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.g.metrics.members.causes[rc.members.Cause(now)].Inc(1)
	rc.members.ReadStarted(now)
}

// finishMembersRead records a read of the list and announces the change, unless it is nil.
func (rc *readCoordinator) finishMembersRead(asOf time.Time, c *wardturn.MemberChange) {
	rc.mu.Lock()
	stamp := rc.members.ReadSucceeded(asOf)
	rc.mu.Unlock()
	if c == nil {
		return
	}
	rc.announce(nil, &peer.ReadAnnouncement{
		Reader:  rc.g.cfg.Process,
		ReadAt:  stamp,
		Members: shortened(c),
	})
}

// readFailed records that a read failed.
func (rc *readCoordinator) readFailed(s *decide.ReadScheduler) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	s.ReadFailed(rc.g.clock.Now())
}

func (rc *readCoordinator) markMembersStale() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.members.Invalidate(rc.g.clock.Now())
	rc.notifySchedules()
}

// membersAge returns the age of the list of upstreams, or zero before the first read.
func (rc *readCoordinator) membersAge() time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.members.Age(rc.g.clock.Now())
}

// reportAges updates the metrics for the age of the configuration and the list.
func (rc *readCoordinator) reportAges() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	now := rc.g.clock.Now()
	rc.g.metrics.config.age.Update(rc.config.Age(now).Seconds())
	rc.g.metrics.members.age.Update(rc.members.Age(now).Seconds())
}

// announce announces records of the configuration and a read. One of them may be nil.
func (rc *readCoordinator) announce(records *peer.ConfigAnnouncement, m *peer.ReadAnnouncement) {
	kind := "config"
	if m != nil && m.Members != nil {
		kind = "members"
	}
	for _, c := range rc.g.links.announcementConns(string(rc.g.cfg.Process) + "/" + kind) {
		// Errors are ignored: a gateway that misses an announcement reads the store itself.
		if records != nil && c.Understands(peer.FeatureConfigRecords) {
			_ = c.Send(records)
		}
		if m != nil {
			rc.announceSoftware(c, m.Members)
			_ = c.Send(m)
		}
	}
}

// receive handles an announcement of another gateway.
func (rc *readCoordinator) receive(m *peer.ReadAnnouncement) {
	if m.Reader == rc.g.cfg.Process {
		return
	}
	rc.g.crashes.mergeRead(m.Crashes)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	now := rc.g.clock.Now()
	if m.Members != nil {
		rc.queueMembers(now, m)
		return
	}
	rc.receiveConfigRead(now, m)
}

// queueMembers queues an announced change of the list. If the queue is full, the list is
// marked as out of date. The caller must hold rc.mu.
func (rc *readCoordinator) queueMembers(now time.Time, m *peer.ReadAnnouncement) {
	if m.Members.From < 0 {
		// The change was too long to announce, so the list is read as scheduled. If all
		// gateways read it at once while hundreds of upstreams register, each would announce
		// the same change and trigger another round of reads.
		rc.members.PeerSeen(now, m.Reader)
		return
	}
	defer rc.notifySchedules()
	// No other goroutine sends on the channel while the lock is held.
	if len(rc.changes) == cap(rc.changes) {
		rc.members.Invalidate(now)
		return
	}
	rc.g.metrics.members.announced.Inc(1)
	rc.changes <- announcedChange{
		change: *m.Members,
		asOf:   rc.members.PeerRead(now, m.Reader, m.ReadAt),
	}
}
