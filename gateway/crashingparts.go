package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// maxContradictionDelay bounds the random delay after which a gateway contradicts a report
// of a crash under a part that it has seen answered. A part shared by many requests has
// been answered at most gateways: one of them suffices.
const maxContradictionDelay = 200 * time.Millisecond

const (
	// partReportTime is the time in which the gateways report the parts of the requests that
	// they had at an upstream that ended. Before it is over, the parts of one gateway would
	// seem to explain what those of another one do.
	partReportTime = 100 * time.Millisecond
	// maxPartsInMessage bounds the parts in an announcement, which keepers forward to each
	// gateway.
	maxPartsInMessage = 256
	// heldPartsInterval is the interval between checks for parts that were not answered again.
	heldPartsInterval = 250 * time.Millisecond
)

// splitParts splits crashes into those of contents and those of parts of prompts.
func splitParts(list []wardturn.Crash) (contents, parts []wardturn.Crash) {
	for _, crash := range list {
		if crash.Content.IsPromptPart() {
			parts = append(parts, crash)
		} else {
			contents = append(contents, crash)
		}
	}
	return contents, parts
}

// splitRecordedParts is splitParts for crashes read from the store.
func splitRecordedParts(list []wardturn.RecordedCrash) (contents, parts []wardturn.RecordedCrash) {
	for _, crash := range list {
		if crash.Content.IsPromptPart() {
			parts = append(parts, crash)
		} else {
			contents = append(contents, crash)
		}
	}
	return contents, parts
}

// decideParts decides about a request by the parts of its prompt.
func (c *crashes) decideParts(parts []wardturn.ContentID) decide.PartDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.Decide(c.g.clock.Now(), parts)
}

// countRequest counts a request for its suspected parts.
func (c *crashes) countRequest(parts []wardturn.ContentID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.CountRequest(parts)
}

// startTrial decides again about a request that may be a trial of a refused part. It
// announces the trial, since the gateways together may send few; without a keeper to
// forward the announcement there is none.
func (c *crashes) startTrial(parts []wardturn.ContentID) decide.PartDecision {
	conns := c.partConns()
	c.mu.Lock()
	now := c.g.clock.Now()
	d := c.parts.Decide(now, parts)
	d.Trial = d.Trial && len(conns) > 0
	if d.Trial {
		c.parts.StartTrial(now, d.Refused)
	}
	c.mu.Unlock()
	if d.Trial {
		sendAll(conns, &peer.PartAnnouncement{
			Trials: []wardturn.ContentID{d.Refused},
		})
		c.g.logger.Info("request is sent although a part of its prompt is refused", "part", d.Refused)
	}
	return d
}

// trialNotRun records that no upstream has run a trial of this gateway.
func (c *crashes) trialNotRun(part wardturn.ContentID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.TrialNotRun(c.g.clock.Now(), part)
}

// answerBegan records that an upstream began to answer a request with these parts.
func (c *crashes) answerBegan(parts []wardturn.ContentID) {
	if len(parts) == 0 {
		return
	}
	c.mu.Lock()
	suspected := c.parts.Answered(c.g.clock.Now(), parts)
	c.mu.Unlock()
	if len(suspected) > 0 {
		c.clearParts(suspected)
		c.updateParts()
	}
}

// clearParts announces that requests with these parts were answered.
func (c *crashes) clearParts(parts []wardturn.ContentID) {
	c.g.logger.Info("parts of prompts not suspected any more, they were answered", "parts", formatParts(parts))
	for chunk := range slices.Chunk(parts, maxPartsInMessage) {
		c.announceParts(&peer.PartAnnouncement{
			Cleared: chunk,
		})
	}
	signal(c.writeSignal)
}

// observedParts announces crashes of parts that were observed here, under an upstream that
// ended some time ago.
func (c *crashes) observedParts(fresh []wardturn.Crash, ago time.Duration) {
	if len(fresh) == 0 {
		return
	}
	c.g.logger.Info("parts of prompts suspected, an upstream ended under them", "upstream", fresh[0].Upstream, "parts", formatParts(contentsOf(fresh)))
	announced := true
	for chunk := range slices.Chunk(fresh, maxPartsInMessage) {
		announced = c.announceParts(&peer.PartAnnouncement{
			Crashes: chunk,
			Ago:     ago,
		}) && announced
	}
	c.mu.Lock()
	c.unannounced = c.unannounced || !announced
	c.mu.Unlock()
	c.updatePartsSoon()
	signal(c.writeSignal)
}

// countHeldParts counts the ends of upstreams under parts that were answered shortly before
// and have not been answered since.
func (c *crashes) countHeldParts() {
	c.mu.Lock()
	now := c.g.clock.Now()
	list := c.parts.CountHeld(now)
	c.mu.Unlock()
	for _, h := range list {
		c.observedParts(h.Crashes, now.Sub(h.At))
	}
}

// updatePartsSoon calls updateParts once the other gateways have had the time to report.
func (c *crashes) updatePartsSoon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.updatingSoon {
		return
	}
	c.updatingSoon = true
	c.g.tasks.Go(func() {
		ok := c.g.tasks.Sleep(partReportTime)
		c.mu.Lock()
		c.updatingSoon = false
		c.mu.Unlock()
		if ok {
			c.updateParts()
		}
	})
}

// contentsOf returns the contents of crashes, each once.
func contentsOf(list []wardturn.Crash) []wardturn.ContentID {
	var ids []wardturn.ContentID
	seen := make(map[wardturn.ContentID]bool)
	for _, crash := range list {
		if !seen[crash.Content] {
			seen[crash.Content] = true
			ids = append(ids, crash.Content)
		}
	}
	return ids
}

// partConns returns the connections for an announcement about parts.
func (c *crashes) partConns() []*peer.Conn {
	return slices.DeleteFunc(c.g.links.announcementConns(string(c.g.cfg.Process)+"/parts"), func(conn *peer.Conn) bool {
		return !conn.Understands(peer.FeaturePromptParts)
	})
}

// announceParts sends a message to the other gateways and reports whether any keeper is
// connected to forward it.
func (c *crashes) announceParts(m *peer.PartAnnouncement) bool {
	conns := c.partConns()
	sendAll(conns, m)
	return len(conns) > 0
}

func sendAll(conns []*peer.Conn, m peer.Message) {
	for _, conn := range conns {
		_ = conn.Send(m)
	}
}

// updateParts determines which parts are refused after crashes have become known or were
// cleared. Requests with a newly refused part that no upstream has started yet are aborted.
func (c *crashes) updateParts() {
	c.mu.Lock()
	fresh := c.parts.Update(c.g.clock.Now())
	c.mu.Unlock()
	for _, id := range fresh {
		n := c.g.pendingSends.abortPart(id)
		c.g.logger.Warn("requests with a part of prompts are refused, upstreams ended under it", "part", id, "broken_off", n)
	}
}

// receiveParts handles a message of another gateway.
func (c *crashes) receiveParts(m *peer.PartAnnouncement) {
	c.mu.Lock()
	now := c.g.clock.Now()
	answered := c.parts.AddReported(now, m.Crashes, m.Ago)
	c.parts.ClearReported(now, m.Cleared)
	for _, id := range m.Trials {
		c.parts.StartTrial(now, id)
	}
	c.mu.Unlock()
	if len(m.Cleared) > 0 {
		c.updateParts()
	}
	if len(m.Crashes) > 0 {
		c.updatePartsSoon()
	}
	c.contradict(now, answered, nil)
}

// contradict clears, after a delay, parts that were reported at a time and recently answered
// here, unless another gateway has done so since. The records of their crashes are deleted.
func (c *crashes) contradict(reported time.Time, parts []wardturn.ContentID, records []wardturn.Crash) {
	if len(parts) == 0 {
		return
	}
	c.g.tasks.Go(func() {
		if !c.g.tasks.Sleep(rand.N(maxContradictionDelay)) {
			return
		}
		c.mu.Lock()
		cleared := make(map[wardturn.ContentID]bool)
		parts = slices.DeleteFunc(parts, func(id wardturn.ContentID) bool {
			cleared[id] = c.parts.ClearedSince(reported, id)
			return cleared[id]
		})
		c.parts.DeleteRecords(slices.DeleteFunc(records, func(crash wardturn.Crash) bool {
			return cleared[crash.Content]
		}))
		c.mu.Unlock()
		if len(parts) > 0 {
			c.clearParts(parts)
		}
	})
}

// rejectCrashingPart reports whether the request is rejected on arrival because of a part
// of its prompt, and records when it may be retried.
func (x *exchange) rejectCrashingPart() bool {
	if len(x.parts) == 0 {
		return false
	}
	x.g.crashes.countRequest(x.parts)
	d := x.g.crashes.decideParts(x.parts)
	return x.refusePart(d)
}

// rejectCrashingSend is rejectCrashingPart before a send. A request that may be a trial
// becomes one.
func (x *exchange) rejectCrashingSend() bool {
	if len(x.parts) == 0 {
		return false
	}
	d := x.g.crashes.decideParts(x.parts)
	if d.Refused == "" || d.Refused == x.trialOf {
		return false
	}
	if d.Trial {
		d = x.g.crashes.startTrial(x.parts)
	}
	if d.Trial {
		x.trialOf = d.Refused
	}
	return x.refusePart(d)
}

// refusePart reports whether a decision refuses the request, and records the refusal.
func (x *exchange) refusePart(d decide.PartDecision) bool {
	if d.Refused == "" || d.Trial {
		return false
	}
	x.refusal = &refusal{
		reason:     wardturn.ReasonPromptPart,
		retryAfter: d.RetryAfter,
		part:       d.Refused,
	}
	return true
}

// answerBegan records, once for each send, that the upstream began to answer the request
// successfully: a whole event of a stream or the whole response has arrived.
func (x *exchange) answerBegan() {
	if x.send.answered {
		return
	}
	x.send.answered = true
	x.g.crashes.answerBegan(x.parts)
}

// endTrial records how a trial of a refused part ended. It may be repeated if no upstream ran
// it.
func (x *exchange) endTrial(r result) {
	if x.trialOf == "" {
		return
	}
	if r == resultNotRun {
		x.g.crashes.trialNotRun(x.trialOf)
	}
	x.trialOf = ""
}
