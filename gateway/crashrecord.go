package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

const (
	// crashBatchDelay is how long crashes are batched into one write to the store.
	crashBatchDelay = 50 * time.Millisecond
	// crashRetryDelay is the initial delay after a failed write, doubled up to
	// crashMaxRetryDelay. During a store outage all gateways may have crashes to write, and
	// calls to the store are costly.
	crashRetryDelay    = 500 * time.Millisecond
	crashMaxRetryDelay = 4 * time.Second
	// crashMaxAge is the maximum age of the crash records at the gateway that reads the
	// configuration on behalf of all. It is checked after each configuration read.
	crashMaxAge = time.Second
	// crashMaxAgeOthers is the maximum age at the other gateways. It is longer because all
	// gateways read the configuration after a change, and would all read the crashes too.
	crashMaxAgeOthers = 3 * time.Second
)

// describeRead describes the latest read of the crash records, for announcements. It
// returns nil before the first read.
func (c *crashes) describeRead() *peer.CrashRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return nil
	}
	return &peer.CrashRead{
		To:  c.readPosition,
		Age: c.g.clock.Now().Sub(c.readAt),
	}
}

// mergeRead handles another gateway's description of its latest read.
func (c *crashes) mergeRead(r *peer.CrashRead) {
	if r == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.To > c.readPosition {
		signal(c.readSignal)
		return
	}
	at := c.g.clock.Now().Add(-r.Age)
	if r.To == c.readPosition && !c.readAt.IsZero() && at.After(c.readAt) {
		c.readAt = at
	}
}

// readIfStale requests a read of the crash records if they are older than the maximum age,
// which depends on whether this gateway reads for all. It is called after a successful
// configuration read.
func (c *crashes) readIfStale(forAll bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := crashMaxAgeOthers
	if forAll {
		bound = crashMaxAge
	}
	if c.readAt.IsZero() || c.g.clock.Now().Sub(c.readAt) >= bound {
		signal(c.readSignal)
	}
}

// readLoop reads the crash records whenever a read is requested, until the gateway shuts
// down.
func (c *crashes) readLoop() {
	failing := false
	first := true
	for c.awaitSignal(c.readSignal) {
		change, err := c.store.Next()
		if err != nil {
			if !failing {
				c.g.logger.Warn("failed to read crash records, using the known ones", "error", err)
			}
			failing = true
			continue
		}
		failing = false
		c.apply(change)
		if !first && change.To > change.From {
			c.announce(&peer.CrashAnnouncement{
				Change: &change,
			})
		}
		first = false
	}
}

// awaitSignal waits for a signal on requested. It reports false when the gateway shuts
// down.
func (c *crashes) awaitSignal(requested chan struct{}) bool {
	select {
	case <-requested:
		return true
	case <-c.g.tasks.Context().Done():
		return false
	}
}

// apply applies a change that was read from the store, here or by another gateway.
func (c *crashes) apply(change wardturn.CrashChange) {
	c.mu.Lock()
	c.readPosition = max(c.readPosition, change.To)
	c.readAt = c.g.clock.Now()
	if change.Restored {
		c.tracker.StoreRestored(c.g.clock.Now())
		c.parts.StoreRestored(c.g.clock.Now())
	}
	contents, parts := splitRecordedParts(change.Crashes)
	removed, removedParts := splitParts(change.Removed)
	fresh := c.tracker.AddRecorded(c.g.clock.Now(), contents)
	c.tracker.RecordsRemoved(removed)
	now := c.g.clock.Now()
	refuted := c.parts.AddRecorded(now, parts)
	c.parts.RecordsRemoved(removedParts)
	c.mu.Unlock()
	c.contradict(now, contentsOf(refuted), refuted)
	c.handleNew(fresh)
	if len(parts)+len(removedParts) > 0 {
		c.updateParts()
	}
	if change.Restored {
		signal(c.writeSignal)
	}
}

// writeLoop writes due records to the store whenever requested, until the gateway shuts
// down.
func (c *crashes) writeLoop() {
	for c.awaitSignal(c.writeSignal) && c.g.tasks.Sleep(crashBatchDelay) {
		retryDelay := crashRetryDelay
		for !c.writeDue() {
			if !c.g.tasks.Sleep(retryDelay) {
				return
			}
			retryDelay = min(2*retryDelay, crashMaxRetryDelay)
		}
	}
}

// writeDue writes the records that are due. It reports false if the write failed.
func (c *crashes) writeDue() bool {
	c.mu.Lock()
	crashes, deletes := c.pendingWrites(c.unannounced)
	unannounced := c.unannounced
	c.unannounced = false
	c.mu.Unlock()
	if len(crashes)+len(deletes) == 0 {
		return true
	}
	err := c.store.Write(c.g.clock.Now(), crashes, deletes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unannounced = c.unannounced || unannounced
		c.g.logger.Warn("crashes not recorded", "crashes", len(crashes), "taken_back", len(deletes), "error", err)
		return false
	}
	c.g.logger.Info("crashes recorded", "crashes", len(crashes), "taken_back", len(deletes))
	c.recordWritten(crashes, deletes)
	return true
}

// pendingWrites returns the pending writes for contents and parts of prompts. The lock must
// be held.
func (c *crashes) pendingWrites(all bool) (crashes, deletes []wardturn.Crash) {
	now := c.g.clock.Now()
	crashes, deletes = c.tracker.PendingWrites(now, all)
	partCrashes, partDeletes := c.parts.PendingWrites(now, all)
	return append(crashes, partCrashes...), append(deletes, partDeletes...)
}

// recordWritten records that the store holds the result of pending writes. The lock must be
// held.
func (c *crashes) recordWritten(crashes, deletes []wardturn.Crash) {
	contents, parts := splitParts(crashes)
	contentDeletes, partDeletes := splitParts(deletes)
	c.tracker.Written(contents, contentDeletes)
	c.parts.Written(parts, partDeletes)
}

// sweep drops expired crashes and requests a write if their records have to be removed.
func (c *crashes) sweep() {
	c.mu.Lock()
	now := c.g.clock.Now()
	c.tracker.Sweep(now)
	c.parts.Sweep(now)
	suspected, refused := c.parts.Levels()
	dropped := c.tracker.TakeDropped() + c.parts.TakeDropped()
	crashes, deletes := c.pendingWrites(false)
	c.mu.Unlock()
	c.g.metrics.updateParts(suspected, refused)
	if dropped > 0 {
		c.g.metrics.suspectsDropped.Inc(int64(dropped))
		c.g.logger.Warn("too many contents and parts of prompts, some are not watched for crashes", "dropped", dropped)
	}
	c.updateParts()
	if len(crashes)+len(deletes) > 0 {
		signal(c.writeSignal)
	}
}
