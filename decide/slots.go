package decide

import (
	"time"

	"wardturn"
)

// SlotState is the state of one adapter slot as known to its agent.
type SlotState uint8

const (
	// SlotEmpty means that the slot holds no adapter.
	SlotEmpty SlotState = iota
	// SlotLoading means that a load order is in progress.
	SlotLoading
	// SlotReady means that the slot serves its adapter version.
	SlotReady
	// SlotUnloading means that an unload order is in progress.
	SlotUnloading
	// SlotUncertain means that the response to an order was lost. The slot is neither used
	// nor reused until a report of the engine shows what it holds.
	SlotUncertain
)

// String returns the state's name for status pages.
func (s SlotState) String() string {
	switch s {
	case SlotEmpty:
		return "empty"
	case SlotLoading:
		return "loading"
	case SlotReady:
		return "ready"
	case SlotUnloading:
		return "unloading"
	}
	return "uncertain"
}

// SlotView is a copy of one slot for status pages and tests.
type SlotView struct {
	State    SlotState
	Adapter  wardturn.AdapterRef
	Running  int
	Draining bool
}

type slot struct {
	state     SlotState
	ref       wardturn.AdapterRef
	order     wardturn.OrderID
	since     time.Time           // start of the state
	draining  bool                // accepts no further requests
	inherited bool                // may run requests of an earlier agent
	loadNext  wardturn.AdapterRef // to load after the unload
}

// OrderResult is the result of an order to the engine.
type OrderResult uint8

const (
	// OrderDone means that the order was executed.
	OrderDone OrderResult = iota
	// OrderRefused means that the order was not executed.
	OrderRefused
	// OrderStoreBusy means that the order was not executed because the store's rate limit
	// was reached.
	OrderStoreBusy
	// OrderUncertain means that the order may have been executed.
	OrderUncertain
)

func (a *Agent) slotOf(ref wardturn.AdapterRef) int {
	for i := range a.slots {
		if a.slots[i].state != SlotEmpty && a.slots[i].ref == ref {
			return i
		}
	}
	return noSlot
}

func (a *Agent) slotByOrder(id wardturn.OrderID) int {
	for i := range a.slots {
		if a.slots[i].order == id && a.slots[i].order != 0 {
			return i
		}
	}
	return noSlot
}

func (a *Agent) nextOrder() wardturn.OrderID {
	a.lastOrder++
	return a.lastOrder
}

// enter moves a slot to a new state.
func (s *slot) enter(state SlotState, now time.Time) {
	s.state = state
	s.since = now
	s.draining = false
	if state == SlotEmpty {
		*s = slot{
			since: now,
		}
	}
}

// Loaded handles the result of a load order. Results of orders that no slot waits for are
// ignored.
func (a *Agent) Loaded(now time.Time, id wardturn.OrderID, result OrderResult, out *Orders) {
	i := a.slotByOrder(id)
	if i == noSlot || a.slots[i].state != SlotLoading {
		return
	}
	s := &a.slots[i]
	s.order = 0
	ad := a.adapter(s.ref)
	a.permits.Finished(now, result)
	switch result {
	case OrderDone:
		a.observeLoad(now.Sub(s.since))
		ad.failures = 0
		ad.retryAt = time.Time{}
		s.enter(SlotReady, now)
	case OrderUncertain:
		ad.backOff(now)
		s.enter(SlotUncertain, now)
	case OrderStoreBusy:
		ad.retryAt = now.Add(storeBusyDelay)
		a.release(s, now)
	case OrderRefused:
		ad.backOff(now)
		a.release(s, now)
	}
	a.plan(now, out)
}

// release empties a slot. Its adapter waits for a slot again if it has requests.
func (a *Agent) release(s *slot, now time.Time) {
	ad := a.adapters[s.ref]
	s.enter(SlotEmpty, now)
	if ad != nil {
		ad.slot = noSlot
		ad.missingAt = now
		a.trackMissing(ad)
	}
}

// Unloaded handles the result of an unload order.
func (a *Agent) Unloaded(now time.Time, id wardturn.OrderID, result OrderResult, out *Orders) {
	i := a.slotByOrder(id)
	if i == noSlot || a.slots[i].state != SlotUnloading {
		return
	}
	s := &a.slots[i]
	s.order = 0
	next := a.adapters[s.loadNext]
	s.loadNext = wardturn.AdapterRef{}
	switch result {
	case OrderDone:
		a.release(s, now)
		a.loadAfterUnload(i, next, now, out)
	case OrderUncertain:
		a.cancelLoad(i, next, now)
		s.enter(SlotUncertain, now)
	default:
		a.cancelLoad(i, next, now)
		s.inherited = true
		s.enter(SlotReady, now)
	}
	a.plan(now, out)
}

// loadAfterUnload starts the load for which a slot was emptied, unless no request waits for
// that adapter any more.
func (a *Agent) loadAfterUnload(i int, next *adapter, now time.Time, out *Orders) {
	if next == nil || next.slot != i || next.waiting() == 0 {
		a.cancelLoad(i, next, now)
		return
	}
	a.startLoad(i, next, now, out)
}

// cancelLoad cancels a load that has not started and returns its permit. The adapter
// waits for a slot again unless another slot turned out to hold it.
func (a *Agent) cancelLoad(i int, next *adapter, now time.Time) {
	a.permits.Return(now)
	if next != nil && next.slot == i {
		next.slot = noSlot
		a.trackMissing(next)
	}
}

func (a *Agent) startLoad(i int, ad *adapter, now time.Time, out *Orders) {
	s := &a.slots[i]
	s.enter(SlotLoading, now)
	s.ref = ad.ref
	s.order = a.nextOrder()
	ad.slot = i
	a.trackMissing(ad)
	a.stats.Loads++
	out.Load = append(out.Load, SlotOrder{
		ID:      s.order,
		Adapter: ad.ref,
	})
}

func (a *Agent) startUnload(i int, next wardturn.AdapterRef, now time.Time, out *Orders) {
	s := &a.slots[i]
	s.enter(SlotUnloading, now)
	s.order = a.nextOrder()
	s.loadNext = next
	a.stats.Evictions++
	out.Unload = append(out.Unload, SlotOrder{
		ID:      s.order,
		Adapter: s.ref,
	})
}

// Report reconciles the slots with a report of the engine. It resolves uncertain slots,
// adopts adapters that an earlier agent loaded, and detects that the engine restarted
// empty. A slot whose state is newer than the report is left unchanged.
func (a *Agent) Report(now time.Time, rep wardturn.EngineReport, out *Orders) {
	if rep.At.Before(a.lastReport) {
		return
	}
	a.lastReport = rep.At
	a.reported = a.reported || !rep.At.Before(a.started)
	for i := range a.slots {
		a.reconcile(&a.slots[i], rep, now)
	}
	for _, res := range rep.Resident {
		a.adopt(res.Adapter, SlotReady, rep.At, now)
	}
	for _, ref := range rep.Loading {
		a.adopt(ref, SlotUncertain, rep.At, now)
	}
	a.plan(now, out)
}

func (a *Agent) reconcile(s *slot, rep wardturn.EngineReport, now time.Time) {
	if !rep.At.After(s.since) {
		return
	}
	running, resident := residentIn(rep, s.ref)
	switch s.state {
	case SlotUncertain:
		a.resolveUncertain(s, rep, resident, now)
	case SlotReady:
		if !resident {
			a.slotLost(s, now)
			return
		}
		if s.inherited && running == 0 {
			s.inherited = false
		}
	}
}

func (a *Agent) resolveUncertain(s *slot, rep wardturn.EngineReport, resident bool, now time.Time) {
	if resident {
		s.inherited = true
		s.enter(SlotReady, now)
		return
	}
	for _, ref := range rep.Loading {
		if ref == s.ref {
			return
		}
	}
	a.release(s, now)
}

// slotLost empties a slot whose adapter the engine no longer holds. Requests in progress
// end with their own connections.
func (a *Agent) slotLost(s *slot, now time.Time) {
	a.stats.Dropped++
	a.release(s, now)
}

// adopt takes over an adapter that the engine holds or loads on the order of an earlier
// agent.
func (a *Agent) adopt(ref wardturn.AdapterRef, state SlotState, at, now time.Time) {
	if at.Before(a.started) || a.slotOf(ref) != noSlot || a.unloadedSince(ref, at) {
		return
	}
	for i := range a.slots {
		s := &a.slots[i]
		if s.state != SlotEmpty || !at.After(s.since) {
			continue
		}
		s.enter(state, now)
		s.ref = ref
		s.inherited = true
		ad := a.adapter(ref)
		ad.slot = i
		a.trackMissing(ad)
		return
	}
}

// unloadedSince reports whether an adapter left its slot after the report was made, so that
// the report is outdated for it.
func (a *Agent) unloadedSince(ref wardturn.AdapterRef, at time.Time) bool {
	ad := a.adapters[ref]
	return ad != nil && ad.missingAt.After(at)
}

func residentIn(rep wardturn.EngineReport, ref wardturn.AdapterRef) (running int, ok bool) {
	for _, res := range rep.Resident {
		if res.Adapter == ref {
			return res.Running, true
		}
	}
	return 0, false
}
