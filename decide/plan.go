package decide

import (
	"time"

	"wardturn"
)

const (
	// valueLifetime bounds how long a policy's answer for an adapter is reused.
	valueLifetime = 100 * time.Millisecond
	// batchReserve is the fraction of an engine's batch capacity that batch work leaves
	// free for interactive work that may arrive.
	batchReserve = 0.125
	// batchStarveFactor times AgentConfig.StarveAfter is the age at which a batch request
	// may claim a slot like an interactive one.
	batchStarveFactor = 30
)

// plan starts the requests that can run and orders the loads that they need.
func (a *Agent) plan(now time.Time, out *Orders) {
	a.startReady(now, out)
	a.planLoads(now, out)
	if r, due := a.permits.Pending(now); due {
		r.Upstream = a.cfg.Upstream
		r.Misses = a.misses
		out.PermitRequests = append(out.PermitRequests[:0], r)
	}
}

func (a *Agent) startReady(now time.Time, out *Orders) {
	for a.queued > 0 && a.running < a.cfg.MaxRunning {
		it := a.nextInteractive(now)
		if it == nil {
			it = a.nextBatch(now)
		}
		switch {
		case it == nil:
			return
		case it.pastDeadline(now):
			a.refuseLate(it, out)
		default:
			a.start(now, it, out)
		}
	}
}

// nextInteractive returns the interactive item to run now, or nil.
func (a *Agent) nextInteractive(now time.Time) *item {
	best := a.first(now, &a.plain)
	for i := range a.slots {
		ad := a.servingAdapter(i)
		if ad == nil {
			continue
		}
		best = a.earlier(now, best, a.first(now, &ad.interactive))
	}
	return best
}

// nextBatch returns the batch item to run now, or nil. The policy may hold batch items
// back, and batch work leaves capacity for interactive work.
func (a *Agent) nextBatch(now time.Time) *item {
	room := a.cfg.MaxRunning - int(batchReserve*float64(a.cfg.MaxRunning))
	if a.running >= room {
		return nil
	}
	pinned := a.pinnedSlots()
	var best *item
	for i := range a.slots {
		ad := a.servingAdapter(i)
		if ad == nil || ad.batch.len() == 0 {
			continue
		}
		if ad.running == 0 && pinned+a.cfg.ReserveSlots >= len(a.slots) {
			continue
		}
		it := a.first(now, &ad.batch)
		if a.heldBack(now, it) {
			continue
		}
		best = a.earlier(now, best, it)
	}
	return best
}

// servingAdapter returns the adapter of a slot that may start requests.
func (a *Agent) servingAdapter(i int) *adapter {
	s := &a.slots[i]
	if s.state != SlotReady || s.draining {
		return nil
	}
	return a.adapters[s.ref]
}

func (a *Agent) pinnedSlots() int {
	n := 0
	for i := range a.slots {
		if ad := a.adapters[a.slots[i].ref]; ad != nil && ad.running > 0 {
			n++
		}
	}
	return n
}

// earlier picks the item to run first; either may be nil.
func (a *Agent) earlier(now time.Time, x, y *item) *item {
	switch {
	case x == nil:
		return y
	case y == nil || a.before(now, x, y):
		return x
	}
	return y
}

// heldBack reports whether the policy holds a batch item back. An item near its deadline is
// never held.
func (a *Agent) heldBack(now time.Time, it *item) bool {
	in := a.queueInput(now, it)
	if !it.work.Deadline.IsZero() && in.TimeLeft < holdMargin*a.serveTime+a.loadTime {
		return false
	}
	held := in.Waited < a.policy.Hold(in)
	a.shadowHold(in, held)
	return held
}

// holdMargin sets when a held item is released: this many service times plus the time of a
// load before its deadline.
const holdMargin = 4

func (a *Agent) start(now time.Time, it *item, out *Orders) {
	a.dequeue(it)
	it.running = true
	it.startedAt = now
	a.running++
	start := Start{
		Attempt: it.work.Attempt,
	}
	if it.work.Class == wardturn.Batch {
		a.runBatch++
	}
	if it.adapter != nil {
		it.adapter.running++
		start.AdapterWait = a.stalled(it)
	}
	out.Run = append(out.Run, start)
}

// stalled returns how long an item waited for its adapter to become ready.
func (a *Agent) stalled(it *item) time.Duration {
	if it.stalledSince.IsZero() {
		return 0
	}
	return max(0, a.slots[it.adapter.slot].since.Sub(it.stalledSince))
}

func (a *Agent) unpin(it *item) {
	a.running--
	if it.work.Class == wardturn.Batch {
		a.runBatch--
	}
	if it.adapter != nil {
		it.adapter.running--
	}
}

// planLoads orders loads for the adapters that wait for a slot, the most valuable first.
func (a *Agent) planLoads(now time.Time, out *Orders) {
	if len(a.slots) == 0 || !a.reported {
		return
	}
	for {
		missing := a.nextLoad(now)
		if missing == nil {
			a.stopDraining()
			a.permits.Withdraw(now)
			return
		}
		i := a.victim(now, missing)
		if i == noSlot {
			a.drainFor(now, missing)
			a.permits.Withdraw(now)
			return
		}
		if !a.permits.Take(now, a.permitRequest(now, missing)) {
			return
		}
		a.shadowLoad(now, missing, i)
		a.loadInto(i, missing, now, out)
	}
}

func (a *Agent) permitRequest(now time.Time, missing *adapter) PermitRequest {
	r := PermitRequest{
		Class:   wardturn.Interactive,
		Value:   a.value(now, missing),
		Pending: max(1, a.urgentMissing(now)),
	}
	if !a.urgent(now, missing) {
		// Batch loads prefer engines that already run batch work, so that the steps of
		// one engine are full instead of those of all engines being half empty.
		r.Class = wardturn.Batch
		r.Value += float64(a.runBatch)
	}
	return r
}

// urgentMissing counts the adapters without a slot for which urgent work waits.
func (a *Agent) urgentMissing(now time.Time) int {
	n := 0
	for _, ad := range a.missing {
		if a.urgent(now, ad) {
			n++
		}
	}
	return n
}

// urgent reports whether work that must not be held back waits for an adapter: interactive
// requests, or batch requests past the starvation limit.
func (a *Agent) urgent(now time.Time, ad *adapter) bool {
	return ad.interactive.len() > 0 || ad.batch.oldest(now) > batchStarveFactor*a.cfg.StarveAfter
}

// nextLoad returns the adapter to load next, or nil: urgent ones before others, then by
// value. Adapters in backoff after a failed load are skipped.
func (a *Agent) nextLoad(now time.Time) *adapter {
	var best *adapter
	for _, ad := range a.missing {
		if now.Before(ad.retryAt) || !a.loadable(now, ad) {
			continue
		}
		if best == nil || a.worthMore(now, ad, best) {
			best = ad
		}
	}
	return best
}

// loadable reports whether some request that waits for an adapter is not held back.
func (a *Agent) loadable(now time.Time, ad *adapter) bool {
	if ad.interactive.len() > 0 {
		return true
	}
	return !a.heldBack(now, ad.batch.items[0])
}

func (a *Agent) worthMore(now time.Time, x, y *adapter) bool {
	urgentX := a.urgent(now, x)
	urgentY := a.urgent(now, y)
	if urgentX != urgentY {
		return urgentX
	}
	valueX := a.value(now, x)
	valueY := a.value(now, y)
	if valueX != valueY {
		return valueX > valueY
	}
	return x.ref.Adapter < y.ref.Adapter
}

// value returns the policy's value of a slot for an adapter, cached for valueLifetime.
func (a *Agent) value(now time.Time, ad *adapter) float64 {
	if !ad.valueAt.IsZero() && now.Sub(ad.valueAt) < valueLifetime {
		return ad.value
	}
	ad.value = a.policy.Slot(a.slotInput(now, ad))
	ad.valueAt = now
	return ad.value
}

func (a *Agent) slotInput(now time.Time, ad *adapter) wardturn.SlotInput {
	return wardturn.SlotInput{
		Adapter:       ad.ref.Adapter,
		Rate:          ad.demand.Rate(now),
		Waiting:       ad.interactive.len(),
		OldestWaiting: ad.interactive.oldest(now),
		BatchWaiting:  ad.batch.len(),
		OldestBatch:   ad.batch.oldest(now),
		Running:       ad.running,
		Idle:          now.Sub(ad.demand.Last()),
		Resident:      ad.slot != noSlot,
		LoadTime:      a.loadTime,
		BatchRunning:  a.runBatch,
	}
}

// victim returns the slot to load a missing adapter into: an empty one, a drained one, or
// the least valuable idle one if the missing adapter is worth more.
func (a *Agent) victim(now time.Time, missing *adapter) int {
	best := noSlot
	for i := range a.slots {
		s := &a.slots[i]
		if s.state == SlotEmpty {
			return i
		}
		if !a.evictable(s) {
			continue
		}
		if s.draining {
			return i
		}
		if best == noSlot || a.value(now, a.adapters[s.ref]) < a.value(now, a.adapters[a.slots[best].ref]) {
			best = i
		}
	}
	if best == noSlot || a.outranks(now, missing, a.adapters[a.slots[best].ref]) {
		return best
	}
	return noSlot
}

// evictable reports whether a slot may be unloaded: it runs no requests of this agent or an
// earlier one, and no interactive requests wait for it unless it is draining.
func (a *Agent) evictable(s *slot) bool {
	if s.state != SlotReady || s.inherited {
		return false
	}
	ad := a.adapters[s.ref]
	return ad.running == 0 && (s.draining || ad.interactive.len() == 0)
}

// outranks reports whether a missing adapter may replace a resident one.
func (a *Agent) outranks(now time.Time, missing, resident *adapter) bool {
	if missing.interactive.oldest(now) > a.cfg.StarveAfter {
		return true
	}
	return a.value(now, missing) > a.value(now, resident)
}

// drainFor stops new requests on the least valuable busy slot, so that an adapter that has
// waited long gets a slot. Only one slot drains at a time.
func (a *Agent) drainFor(now time.Time, missing *adapter) {
	if !a.urgent(now, missing) || missing.interactive.oldest(now) < a.cfg.DrainAfter {
		return
	}
	best := noSlot
	for i := range a.slots {
		s := &a.slots[i]
		if s.draining {
			return
		}
		if s.state != SlotReady || a.evictable(s) {
			continue
		}
		if best == noSlot || a.value(now, a.adapters[s.ref]) < a.value(now, a.adapters[a.slots[best].ref]) {
			best = i
		}
	}
	if best == noSlot || !a.outranks(now, missing, a.adapters[a.slots[best].ref]) {
		return
	}
	a.drain(now, best)
}

func (a *Agent) drain(now time.Time, i int) {
	a.slots[i].draining = true
	ad := a.adapters[a.slots[i].ref]
	for _, it := range ad.interactive.items {
		if it.stalledSince.IsZero() {
			it.stalledSince = now
		}
	}
}

func (a *Agent) stopDraining() {
	for i := range a.slots {
		a.slots[i].draining = false
	}
}

// loadInto loads a missing adapter into a slot, which is unloaded first if it is occupied.
func (a *Agent) loadInto(i int, missing *adapter, now time.Time, out *Orders) {
	if a.slots[i].state == SlotEmpty {
		a.startLoad(i, missing, now, out)
		return
	}
	a.startUnload(i, missing.ref, now, out)
	missing.slot = i
	a.trackMissing(missing)
}
