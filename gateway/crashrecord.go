package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

const (
	// crashGather is how long crashes are gathered into one call of the store.
	crashGather = 50 * time.Millisecond
	// crashRetry is the pause after crashes could not be written, doubled up to
	// crashMaxRetry: while the store is away all gateways may have some to write, and each
	// call has a price.
	crashRetry    = 500 * time.Millisecond
	crashMaxRetry = 4 * time.Second
	// crashReadEvery is how old what is known of the store may be at the gateway that reads
	// the configuration for all when it has done so.
	crashReadEvery = time.Second
	// crashReadOthers is the same at gateways that hear of such readings. All gateways
	// read the configuration after a change, and would all read the crashes.
	crashReadOthers = 3 * time.Second
)

// reading returns what is told of the latest reading of the store; nil: there was none.
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

// mergeReading takes what another gateway says of its latest reading of the store.
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

// readIfOld has the store read if what is known of it is old, for this gateway or for all.
// It is called when the store has just answered.
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

// follow reads the store whenever it is asked to, until the gateway ends.
func (c *crashes) follow() {
	failing := false
	first := true
	for c.await(c.reads) {
		change, err := c.record.Next()
		if err != nil {
			if !failing {
				c.g.logger.Warn("crashes not read, those known count", "error", err)
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

// await waits until a channel asks for something. It reports false when the gateway ends.
func (c *crashes) await(ask chan struct{}) bool {
	select {
	case <-ask:
		return true
	case <-c.g.tasks.Context().Done():
		return false
	}
}

// read takes what was read in the store.
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

// write writes what is due to the store, until the gateway ends.
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

// writeDue reports whether nothing is left to be written.
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

// sweep forgets what no longer counts.
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
