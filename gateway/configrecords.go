package gateway

import (
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// configRecords is the part of a readCoordinator that passes on the records of the
// configuration. It is guarded by readCoordinator.mu, except for the channel.
type configRecords struct {
	queue       chan announcedRecords // consumed by followAnnouncedConfig
	position    wardturn.Position     // up to which the configuration is in force; negative: nothing was read
	queued      wardturn.Position     // up to which it will be once the queue is empty; negative: the queue is empty
	unconfirmed []announcedRead       // of later positions
	readAt      time.Duration         // time of this gateway's latest read by its own clock
	recent      *decide.RecentRecords
}

// announcedRecords are records that another gateway has read.
type announcedRecords struct {
	by      wardturn.Incarnation
	records wardturn.ConfigRecords
}

// announcedRead is a read by another gateway up to a position that this one has not reached.
type announcedRead struct {
	to   wardturn.Position
	read decide.PeerReadTime
}

const (
	// maxQueuedRecords is the capacity of the queue of announced records. If the queue is
	// full, the gateway reads the configuration itself.
	maxQueuedRecords = 32
	// maxUnconfirmed is how many announced reads are remembered until their records arrive.
	maxUnconfirmed = 32
)

func newConfigRecords(self wardturn.Incarnation) configRecords {
	return configRecords{
		queue:    make(chan announcedRecords, maxQueuedRecords),
		position: -1,
		queued:   -1,
		recent:   decide.NewRecentRecords(self),
	}
}

// currentConfigPosition returns the position up to which the configuration is in force, or a
// negative one if nothing was read.
func (rc *readCoordinator) currentConfigPosition() wardturn.Position {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.records.position
}

// finishConfigRead records and announces that the configuration was read.
func (rc *readCoordinator) finishConfigRead(asOf time.Time, c wardturn.ConfigChange) {
	now := rc.g.clock.Now()
	rc.mu.Lock()
	rc.setConfigPosition(c.To)
	rc.records.recent.Add(now, c.Read)
	stamp := rc.config.ReadSucceeded(asOf)
	rc.records.readAt = stamp
	var records *peer.ConfigAnnouncement
	forAll := rc.config.ReadsForAll(now)
	delay, ok := rc.records.recent.Delay(forAll)
	if ok && delay == 0 {
		records = rc.describeRecords(now, forAll)
	}
	rc.mu.Unlock()
	if delay > 0 {
		rc.g.clock.AfterFunc(delay, rc.announceRecords)
	}
	rc.announce(records, &peer.ReadAnnouncement{
		Reader:  rc.g.cfg.Process,
		ReadAt:  stamp,
		Config:  c.Read.To,
		Crashes: rc.g.crashes.describeRead(),
	})
}

// setConfigPosition records the position up to which the configuration is in force and
// confirms the configuration by the announced reads up to there. The caller must hold rc.mu.
func (rc *readCoordinator) setConfigPosition(to wardturn.Position) {
	rc.records.position = to
	rc.records.unconfirmed = slices.DeleteFunc(rc.records.unconfirmed, func(r announcedRead) bool {
		if r.to <= to {
			rc.confirmConfig(r.read)
		}
		return r.to <= to
	})
	rc.notifySchedules()
}

// confirmConfig records that the configuration includes what another gateway had read at a
// time. The caller must hold rc.mu.
func (rc *readCoordinator) confirmConfig(read decide.PeerReadTime) {
	rc.g.metrics.config.announced.Inc(1)
	rc.config.ConfirmPeerRead(read)
}

// announceRecords announces records that no other gateway has announced since they were read.
// The read was announced before.
func (rc *readCoordinator) announceRecords() {
	rc.mu.Lock()
	records := rc.describeRecords(rc.g.clock.Now(), false)
	rc.mu.Unlock()
	if records != nil {
		rc.announce(records, nil)
	}
}

// describeRecords returns the announcement of the records to pass on, or nil if there are
// none. The caller must hold rc.mu.
func (rc *readCoordinator) describeRecords(now time.Time, forAll bool) *peer.ConfigAnnouncement {
	records, ok := rc.records.recent.Announcement(now, forAll)
	if !ok {
		return nil
	}
	return &peer.ConfigAnnouncement{
		Reader:  rc.g.cfg.Process,
		ReadAt:  rc.records.readAt,
		From:    records.From,
		To:      records.To,
		Records: records.Data,
	}
}

// receiveConfig handles records that another gateway has read.
func (rc *readCoordinator) receiveConfig(m *peer.ConfigAnnouncement) {
	if m.Reader == rc.g.cfg.Process {
		return
	}
	records := wardturn.ConfigRecords{
		From: m.From,
		To:   m.To,
		Data: m.Records,
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.records.recent.ObserveAnnouncement(rc.g.clock.Now(), m.To, len(m.Records))
	switch decide.UseOfRecords(max(rc.records.position, rc.records.queued), records) {
	case decide.RecordsKnown:
	case decide.RecordsGap:
		rc.rejectRecords()
	case decide.RecordsFollow:
		rc.queueRecords(announcedRecords{
			by:      m.Reader,
			records: records,
		})
	}
}

// rejectRecords counts announced records that cannot be applied and marks the configuration
// as out of date. The caller must hold rc.mu.
func (rc *readCoordinator) rejectRecords() {
	rc.g.metrics.recordsNotApplied.Inc(1)
	rc.invalidateConfig()
}

// invalidateConfig marks the configuration as out of date. The caller must hold rc.mu.
func (rc *readCoordinator) invalidateConfig() {
	rc.config.Invalidate(rc.g.clock.Now())
	rc.notifySchedules()
}

// receiveConfigRead handles the announcement that another gateway has read the configuration.
// It confirms the configuration here once that includes what the other one has read. The
// caller must hold rc.mu.
func (rc *readCoordinator) receiveConfigRead(now time.Time, m *peer.ReadAnnouncement) {
	read := rc.config.ObservePeerRead(now, m.Reader, m.ReadAt)
	if m.Config <= rc.records.position {
		rc.confirmConfig(read)
		rc.notifySchedules()
		return
	}
	if len(rc.records.unconfirmed) == maxUnconfirmed {
		rc.records.unconfirmed = rc.records.unconfirmed[1:]
	}
	rc.records.unconfirmed = append(rc.records.unconfirmed, announcedRead{
		to:   m.Config,
		read: read,
	})
	if m.Config > rc.records.queued {
		rc.invalidateConfig() // a change that has not been applied here
	}
}

// queueRecords queues announced records. If the queue is full, the configuration is marked as
// out of date. The caller must hold rc.mu, so that no other goroutine sends on the channel.
func (rc *readCoordinator) queueRecords(a announcedRecords) {
	if len(rc.records.queue) == cap(rc.records.queue) {
		rc.rejectRecords()
		return
	}
	rc.records.queued = a.records.To
	rc.records.queue <- a
}

// finishRecords records that announced records were applied up to a position, or that they
// could not be applied.
func (rc *readCoordinator) finishRecords(to wardturn.Position, ok bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	switch {
	case !ok:
		rc.records.queued = -1 // later records in the queue don't follow either
		rc.rejectRecords()
	case to > rc.records.position:
		rc.setConfigPosition(to)
		rc.g.metrics.recordsApplied.Inc(1)
	}
	rc.endQueue()
}

// endQueue records that the queue is empty if it is. The caller must hold rc.mu.
func (rc *readCoordinator) endQueue() {
	if len(rc.records.queue) == 0 {
		rc.records.queued = -1
	}
}

// followAnnouncedConfig applies records of the configuration that other gateways announce. It
// does not wait for a poll of this gateway in progress, which may take longer than keys may be out
// of date.
func (g *Gateway) followAnnouncedConfig() {
	for {
		select {
		case a := <-g.reads.records.queue:
			g.applyAnnouncedConfig(a)
		case <-g.tasks.Context().Done():
			return
		}
	}
}

func (g *Gateway) applyAnnouncedConfig(a announcedRecords) {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	change, ok := g.configSource.Apply(a.records)
	if ok {
		g.apply(change, g.reads.configCurrentAt(), a.by)
	}
	g.reads.finishRecords(change.To, ok)
}
