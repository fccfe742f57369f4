package decide

import (
	"time"

	"wardturn"
)

// item is an attempt that is queued or running.
type item struct {
	work         Work
	adapter      *adapter // nil for a plain service
	arrived      time.Time
	startedAt    time.Time
	stalledSince time.Time // when it began to wait for its adapter; zero if it did not
	seq          uint64    // order of admission
	rank         float64
	running      bool
}

// pastDeadline reports whether an item is past its deadline.
func (it *item) pastDeadline(now time.Time) bool {
	return !it.work.Deadline.IsZero() && !now.Before(it.work.Deadline)
}

// adapter is an agent's state for one adapter version.
type adapter struct {
	ref          wardturn.AdapterRef
	demand       Demand
	interactive  queue
	batch        queue
	slot         int
	running      int
	failures     int
	retryAt      time.Time // earliest time of the next load
	missingAt    time.Time // when the agent last learned that the engine does not hold it
	value        float64
	valueAt      time.Time
	missingIndex int // index in Agent.missing, or notMissing
}

const notMissing = -1

func (ad *adapter) waiting() int {
	return ad.interactive.len() + ad.batch.len()
}

func (ad *adapter) backOff(now time.Time) {
	delay := minBackoff << min(ad.failures, maxBackoffShift)
	ad.failures++
	ad.retryAt = now.Add(min(delay, maxBackoff))
}

const maxBackoffShift = 10

// queue holds waiting items in the order of their arrival.
type queue struct {
	items []*item
}

func (q *queue) len() int {
	return len(q.items)
}

func (q *queue) push(it *item) {
	q.items = append(q.items, it)
}

func (q *queue) pushFront(it *item) {
	q.items = append(q.items, nil)
	copy(q.items[1:], q.items)
	q.items[0] = it
}

func (q *queue) remove(it *item) bool {
	for i, have := range q.items {
		if have != it {
			continue
		}
		copy(q.items[i:], q.items[i+1:])
		q.items[len(q.items)-1] = nil
		q.items = q.items[:len(q.items)-1]
		return true
	}
	return false
}

func (q *queue) oldest(now time.Time) time.Duration {
	if len(q.items) == 0 {
		return 0
	}
	return now.Sub(q.items[0].arrived)
}

func (a *Agent) adapter(ref wardturn.AdapterRef) *adapter {
	ad := a.adapters[ref]
	if ad == nil {
		ad = &adapter{
			ref:          ref,
			demand:       NewDemand(a.started),
			slot:         noSlot,
			missingIndex: notMissing,
		}
		a.adapters[ref] = ad
	}
	return ad
}

func (a *Agent) queueOf(it *item) *queue {
	switch {
	case it.adapter == nil:
		return &a.plain
	case it.work.Class == wardturn.Batch:
		return &it.adapter.batch
	}
	return &it.adapter.interactive
}

func (a *Agent) enqueue(now time.Time, it *item) {
	if !it.work.Adapter.IsZero() {
		it.adapter = a.adapter(it.work.Adapter)
		if it.adapter.slot == noSlot && it.adapter.waiting() == 0 {
			a.miss(now)
		}
		it.adapter.demand.Record(now)
		it.adapter.valueAt = time.Time{}
		it.rank = a.policy.Order(a.queueInput(now, it))
	}
	if !a.ready(it.adapter) {
		it.stalledSince = now
	}
	a.queueOf(it).push(it)
	a.countQueued(it, 1)
	a.trackMissing(it.adapter)
}

// requeue requeues an item that the engine refused, ahead of all others.
func (a *Agent) requeue(it *item) {
	if it.stalledSince.IsZero() {
		it.stalledSince = it.startedAt
	}
	a.queueOf(it).pushFront(it)
	a.countQueued(it, 1)
	a.trackMissing(it.adapter)
}

func (a *Agent) dequeue(it *item) {
	if a.queueOf(it).remove(it) {
		a.countQueued(it, -1)
	}
	if it.adapter != nil {
		it.adapter.valueAt = time.Time{}
		a.trackMissing(it.adapter)
	}
}

func (a *Agent) countQueued(it *item, n int) {
	a.queued += n
	if it.work.Class == wardturn.Batch {
		a.queuedBatch += n
	}
}

// trackMissing updates the adapter's membership in Agent.missing, the adapters that have
// waiting requests and no slot.
func (a *Agent) trackMissing(ad *adapter) {
	if ad == nil {
		return
	}
	isMissing := ad.slot == noSlot && ad.waiting() > 0
	switch {
	case isMissing && ad.missingIndex == notMissing:
		ad.missingIndex = len(a.missing)
		a.missing = append(a.missing, ad)
	case !isMissing && ad.missingIndex != notMissing:
		a.removeMissing(ad)
	}
}

func (a *Agent) removeMissing(ad *adapter) {
	last := len(a.missing) - 1
	moved := a.missing[last]
	a.missing[ad.missingIndex] = moved
	moved.missingIndex = ad.missingIndex
	a.missing[last] = nil
	a.missing = a.missing[:last]
	ad.missingIndex = notMissing
}

// displace makes room in the queue for interactive work by refusing the newest queued batch
// item, and reports whether it did.
func (a *Agent) displace(w Work, out *Orders) bool {
	if w.Class == wardturn.Batch {
		return false
	}
	var newest *item
	for _, it := range a.work {
		if it.running || it.work.Class != wardturn.Batch {
			continue
		}
		if newest == nil || it.seq > newest.seq {
			newest = it
		}
	}
	if newest == nil {
		return false
	}
	a.dequeue(newest)
	delete(a.work, newest.work.Attempt)
	out.Refuse = append(out.Refuse, refuse(newest.work, wardturn.ReasonQueueFull, a.queueDelay()))
	return true
}

func (a *Agent) ready(ad *adapter) bool {
	if ad == nil {
		return true
	}
	if ad.slot == noSlot {
		return false
	}
	s := &a.slots[ad.slot]
	return s.state == SlotReady && !s.draining
}

// queueDelay returns the estimated time for the current queue to drain.
func (a *Agent) queueDelay() time.Duration {
	if a.cfg.MaxRunning == 0 {
		return a.serveTime
	}
	return a.serveTime * time.Duration(a.queued+1) / time.Duration(a.cfg.MaxRunning)
}

func (a *Agent) queueInput(now time.Time, it *item) wardturn.QueueInput {
	in := wardturn.QueueInput{
		Adapter:   it.work.Adapter.Adapter,
		Class:     it.work.Class,
		Waited:    now.Sub(it.arrived),
		Prompt:    it.work.Prompt,
		Output:    it.work.Output,
		Waiting:   a.queueOf(it).len(),
		Resident:  a.ready(it.adapter),
		Running:   a.running,
		BatchSize: a.cfg.MaxRunning,

		BatchRunning: a.runBatch,
		BatchQueued:  a.queuedBatch,
	}
	if !it.work.Deadline.IsZero() {
		in.TimeLeft = it.work.Deadline.Sub(now)
	}
	return in
}
