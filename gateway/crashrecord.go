package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

const (
	// crashGather is how long crashes are batched into one write to the store.
	crashGather = 50 * time.Millisecond
	// crashRetry is the initial delay after a failed write, doubled up to crashMaxRetry.
	// During a store outage all gateways may have crashes to write, and calls are costly.
	crashRetry    = 500 * time.Millisecond
	crashMaxRetry = 4 * time.Second
	// crashReadEvery is the maximum age of the crash records at the gateway that reads the
	// configuration on behalf of all. It is checked after each configuration read.
	crashReadEvery = time.Second
	// crashReadOthers is the maximum age at the other gateways. It is longer because all
	// gateways read the configuration after a change, and would all read the crashes too.
	crashReadOthers = 3 * time.Second
)

// reading describes the latest read of the crash records, for announcements. It returns nil
// before the first read.
func (c *crashes) reading() *peer.CrashReading {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return nil
	}
	return &peer.CrashReading{
		To:  c.readTo,
		Age: c.g.clock.Now().Sub(c.readAt),
	}
}

// mergeReading handles another gateway's description of its latest read.
func (c *crashes) mergeReading(r *peer.CrashReading) {
	if r == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.To > c.readTo {
		wake(c.reads)
		return
	}
	at := c.g.clock.Now().Add(-r.Age)
	if r.To == c.readTo && !c.readAt.IsZero() && at.After(c.readAt) {
		c.readAt = at
	}
}

// readIfOld requests a read of the crash records if they are older than the maximum age,
// which depends on whether this gateway reads for all. It is called after a successful
// configuration read.
func (c *crashes) readIfOld(forAll bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := crashReadOthers
	if forAll {
		bound = crashReadEvery
	}
	if c.readAt.IsZero() || c.g.clock.Now().Sub(c.readAt) >= bound {
		wake(c.reads)
	}
}

// follow reads the crash records whenever a read is requested, until the gateway shuts down.
func (c *crashes) follow() {
	failing := false
	first := true
	for c.await(c.reads) {
		change, err := c.record.Next()
		if err != nil {
			if !failing {
				c.g.logger.Warn("failed to read crash records, using the known ones", "error", err)
			}
			failing = true
			continue
		}
		failing = false
		c.read(change)
		if !first && change.To > change.From {
			c.tell(&peer.CrashNews{
				Read: &change,
			})
		}
		first = false
	}
}

// await waits for a signal on ask. It reports false when the gateway shuts down.
func (c *crashes) await(ask chan struct{}) bool {
	select {
	case <-ask:
		return true
	case <-c.g.tasks.Context().Done():
		return false
	}
}

// read applies a change that was read from the store, here or by another gateway.
func (c *crashes) read(change wardturn.CrashChange) {
	c.mu.Lock()
	c.readTo = max(c.readTo, change.To)
	c.readAt = c.g.clock.Now()
	if change.Returned {
		c.book.RecordsLost(c.g.clock.Now())
	}
	fresh := c.book.Recorded(c.g.clock.Now(), change.Crashes)
	c.book.TakenBack(change.Cleared)
	c.mu.Unlock()
	c.counted(fresh)
	if change.Returned {
		wake(c.writes)
	}
}

// write writes due records to the store whenever requested, until the gateway shuts down.
func (c *crashes) write() {
	for c.await(c.writes) && c.g.tasks.Pause(crashGather) {
		pause := crashRetry
		for !c.writeDue() {
			if !c.g.tasks.Pause(pause) {
				return
			}
			pause = min(2*pause, crashMaxRetry)
		}
	}
}

// writeDue writes the records that are due. It reports false if the write failed.
func (c *crashes) writeDue() bool {
	c.mu.Lock()
	list, takeBack := c.book.Due(c.g.clock.Now(), c.unsent)
	all := c.unsent
	c.unsent = false
	c.mu.Unlock()
	if len(list)+len(takeBack) == 0 {
		return true
	}
	err := c.record.Write(c.g.clock.Now(), list, takeBack)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unsent = c.unsent || all
		c.g.logger.Warn("crashes not recorded", "crashes", len(list), "taken_back", len(takeBack), "error", err)
		return false
	}
	c.g.logger.Info("crashes recorded", "crashes", len(list), "taken_back", len(takeBack))
	c.book.Written(list, takeBack)
	return true
}

// sweep drops expired crashes and requests a write if their records have to be removed.
func (c *crashes) sweep() {
	c.mu.Lock()
	now := c.g.clock.Now()
	c.book.Sweep(now)
	crashes, takeBack := c.book.Due(now, false)
	c.mu.Unlock()
	if len(crashes)+len(takeBack) > 0 {
		wake(c.writes)
	}
}
