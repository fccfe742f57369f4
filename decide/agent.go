package decide

import (
	"cmp"
	"slices"
	"time"

	"wardturn"
)

const noSlot = -1

// Defaults of AgentConfig.
const (
	DefaultMaxQueue     = 1024
	DefaultLoadTime     = 400 * time.Millisecond
	DefaultReserveSlots = 2
	DefaultServiceTime  = 2 * time.Second
	DefaultHistoryTTL   = 10 * time.Minute
	DefaultStarveAfter  = 20 * time.Second
	DefaultDrainAfter   = 2 * time.Second
)

const (
	storeBusyDelay = 100 * time.Millisecond
	minBackoff     = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
	sweepEvery     = time.Minute
)

// AgentConfig holds the limits of one upstream.
type AgentConfig struct {
	Upstream     wardturn.UpstreamID
	Slots        int           // zero for a plain service
	MaxRunning   int           // maximum number of running requests
	MaxQueue     int           // maximum number of waiting requests
	ReserveSlots int           // slots that batch requests may not occupy
	LoadTime     time.Duration // initial estimate
	ServiceTime  time.Duration // initial estimate
	HistoryTTL   time.Duration // idle time after which the history of an adapter is dropped
	StarveAfter  time.Duration // waiting time after which requests are served by age alone
	DrainAfter   time.Duration // waiting time after which a busy slot is drained
	// AdmitAll turns admission control off: no request is refused before its deadline.
	AdmitAll bool
}

func (c AgentConfig) withDefaults() AgentConfig {
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	c.LoadTime = cmp.Or(c.LoadTime, DefaultLoadTime)
	c.ReserveSlots = cmp.Or(c.ReserveSlots, DefaultReserveSlots)
	c.ServiceTime = cmp.Or(c.ServiceTime, DefaultServiceTime)
	c.HistoryTTL = cmp.Or(c.HistoryTTL, DefaultHistoryTTL)
	c.StarveAfter = cmp.Or(c.StarveAfter, DefaultStarveAfter)
	c.DrainAfter = cmp.Or(c.DrainAfter, DefaultDrainAfter)
	return c
}

// Work is one attempt as seen by the Agent.
type Work struct {
	Attempt  wardturn.AttemptID
	Adapter  wardturn.AdapterRef // zero for a plain service
	Class    wardturn.Class
	Team     wardturn.TeamID // team of the caller
	Prompt   wardturn.Tokens
	Output   wardturn.Tokens
	Deadline time.Time // zero if there is none
}

// SlotOrder asks the driver to load or unload one adapter.
type SlotOrder struct {
	ID      wardturn.OrderID
	Adapter wardturn.AdapterRef
}

// Start asks the driver to run an attempt now.
type Start struct {
	Attempt     wardturn.AttemptID
	AdapterWait time.Duration // time the attempt waited for its adapter
}

// Refusal tells the driver that an attempt will not run.
type Refusal struct {
	Attempt wardturn.AttemptID
	Outcome wardturn.Outcome
}

// Orders collects what the driver has to do after an event. Reset it between events to
// reuse its memory.
type Orders struct {
	Run            []Start
	Load           []SlotOrder
	Unload         []SlotOrder
	Refuse         []Refusal
	PermitRequests []PermitRequest // request to the allocator of the store's rate; at most one
}

// Reset empties the orders and keeps their memory.
func (o *Orders) Reset() {
	o.Run = o.Run[:0]
	o.Load = o.Load[:0]
	o.Unload = o.Unload[:0]
	o.Refuse = o.Refuse[:0]
	o.PermitRequests = o.PermitRequests[:0]
}

// AgentStats counts the actions of an Agent since its start.
type AgentStats struct {
	Loads     int
	Evictions int
	Dropped   int // adapters that the engine dropped without an order
}

// Agent is the scheduler of one upstream: it queues requests, starts them, and assigns
// the adapter slots of the engine.
type Agent struct {
	cfg         AgentConfig
	policy      wardturn.Policy
	shadow      *shadow
	permits     Permits
	slots       []slot
	adapters    map[wardturn.AdapterRef]*adapter
	work        map[wardturn.AttemptID]*item
	plain       queue      // requests to a plain service
	missing     []*adapter // adapters with waiting requests and no slot
	scratch     []*item
	lastSeq     uint64
	misses      uint64
	teamUse     teamUse
	missRate    meter
	running     int
	runBatch    int
	queued      int
	queuedBatch int
	leaving     bool
	reported    bool // an engine report made after the start has arrived
	lastOrder   wardturn.OrderID
	loadTime    time.Duration
	serveTime   time.Duration
	started     time.Time
	lastReport  time.Time
	lastSweep   time.Time
	stats       AgentStats
}

// NewAgent returns the Agent of one upstream. A new agent does not know what its engine
// holds, so it orders no loads before the first engine report made after its start.
func NewAgent(now time.Time, cfg AgentConfig, policy wardturn.Policy, permits Permits) *Agent {
	cfg = cfg.withDefaults()
	a := &Agent{
		cfg:       cfg,
		policy:    policy,
		permits:   permits,
		slots:     make([]slot, cfg.Slots),
		adapters:  make(map[wardturn.AdapterRef]*adapter),
		work:      make(map[wardturn.AttemptID]*item),
		loadTime:  cfg.LoadTime,
		serveTime: cfg.ServiceTime,
		teamUse:   newTeamUse(),
		started:   now,
		lastSweep: now,
	}
	return a
}

// SetPolicy replaces the policy. Requests that are already waiting keep the rank that the
// previous policy gave them.
func (a *Agent) SetPolicy(p wardturn.Policy) {
	a.policy = p
	for _, ad := range a.adapters {
		ad.valueAt = time.Time{}
	}
}

// PolicyName returns the name of the active policy.
func (a *Agent) PolicyName() string {
	return a.policy.Name()
}

// Admit adds a new attempt. It is started or refused in out, or queued.
func (a *Agent) Admit(now time.Time, w Work, out *Orders) {
	if refusal, refused := a.screen(now, w, out); refused {
		out.Refuse = append(out.Refuse, refusal)
		return
	}
	a.lastSeq++
	it := &item{
		work:    w,
		arrived: now,
		seq:     a.lastSeq,
	}
	a.work[w.Attempt] = it
	a.enqueue(now, it)
	a.plan(now, out)
}

// screen refuses an attempt that cannot be served in time.
func (a *Agent) screen(now time.Time, w Work, out *Orders) (Refusal, bool) {
	switch {
	case a.leaving:
		return refuse(w, wardturn.ReasonLeaving, 0), true
	case a.work[w.Attempt] != nil:
		return refuse(w, wardturn.ReasonDuplicate, 0), true
	case a.queued >= a.cfg.MaxQueue && !a.displace(w, out):
		return refuse(w, wardturn.ReasonQueueFull, a.queueDelay()), true
	case w.Deadline.IsZero():
		return Refusal{}, false
	}
	return a.screenDeadline(now, w)
}

func refuse(w Work, reason wardturn.Reason, retryAfter time.Duration) Refusal {
	return Refusal{
		Attempt: w.Attempt,
		Outcome: wardturn.Refused(reason, retryAfter),
	}
}

// Cancel withdraws a queued attempt and reports whether it was still queued. The driver
// has to end a running one itself.
func (a *Agent) Cancel(now time.Time, id wardturn.AttemptID, out *Orders) bool {
	it := a.work[id]
	if it == nil || it.running {
		return false
	}
	a.dequeue(it)
	delete(a.work, id)
	a.plan(now, out)
	return true
}

// Finished records that a running attempt ended, with any outcome.
func (a *Agent) Finished(now time.Time, id wardturn.AttemptID, out *Orders) {
	it := a.work[id]
	if it == nil || !it.running {
		return
	}
	a.unpin(it)
	a.observeService(now.Sub(it.startedAt))
	a.teamUse.add(now, it.work.Team, now.Sub(it.startedAt))
	delete(a.work, id)
	a.plan(now, out)
}

// NotLoaded records that the engine refused a running attempt because it does not hold
// the adapter version. The attempt did not run and is queued again, and its slot is
// considered empty.
func (a *Agent) NotLoaded(now time.Time, id wardturn.AttemptID, out *Orders) {
	it := a.work[id]
	if it == nil || !it.running {
		return
	}
	a.unpin(it)
	if ad := it.adapter; ad != nil {
		ad.missingAt = now
		if ad.slot != noSlot && a.slots[ad.slot].state == SlotReady {
			a.slotLost(&a.slots[ad.slot], now)
		}
	}
	it.running = false
	a.requeue(it)
	a.plan(now, out)
}

// Leave refuses new attempts from now on, and refuses the queued ones as not run. Running
// attempts continue.
func (a *Agent) Leave(_ time.Time, out *Orders) {
	a.leaving = true
	everything := func(*item) bool {
		return true
	}
	a.refuseWaiting(everything, wardturn.ReasonLeaving, 0, out)
}

// Leaving reports whether Leave was called.
func (a *Agent) Leaving() bool {
	return a.leaving
}

// refuseWaiting refuses the matching queued items, in order of admission.
func (a *Agent) refuseWaiting(match func(*item) bool, reason wardturn.Reason, retryAfter time.Duration, out *Orders) {
	items := a.scratch[:0]
	for _, it := range a.work {
		if !it.running && match(it) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, bySeq)
	for _, it := range items {
		a.dequeue(it)
		delete(a.work, it.work.Attempt)
		out.Refuse = append(out.Refuse, refuse(it.work, reason, retryAfter))
	}
	clear(items)
	a.scratch = items[:0]
}

func bySeq(x, y *item) int {
	return cmp.Compare(x.seq, y.seq)
}

// Granted records a permit from the store's allocator.
func (a *Agent) Granted(now time.Time, g Grant, out *Orders) {
	a.permits.Granted(now, g)
	a.plan(now, out)
}

// Tick expires deadlines, releases held requests and retries loads. Call it a few times a
// second.
func (a *Agent) Tick(now time.Time, out *Orders) {
	a.expire(now, out)
	if now.Sub(a.lastSweep) >= sweepEvery {
		a.lastSweep = now
		a.sweep(now)
		a.teamUse.sweep(now)
	}
	a.plan(now, out)
}

func (a *Agent) expire(now time.Time, out *Orders) {
	if a.queued == 0 {
		return
	}
	late := func(it *item) bool {
		return it.pastDeadline(now)
	}
	a.refuseWaiting(late, wardturn.ReasonDeadline, a.queueDelay(), out)
}

// refuseLate refuses a queued item that would start after its deadline. An event may make
// the item startable before the next tick expires it.
func (a *Agent) refuseLate(it *item, out *Orders) {
	a.dequeue(it)
	delete(a.work, it.work.Attempt)
	out.Refuse = append(out.Refuse, refuse(it.work, wardturn.ReasonDeadline, a.queueDelay()))
}

// sweep drops adapters that have not been requested for long.
func (a *Agent) sweep(now time.Time) {
	for ref, ad := range a.adapters {
		idle := now.Sub(ad.demand.Last())
		if ad.slot == noSlot && ad.waiting() == 0 && ad.running == 0 && idle > a.cfg.HistoryTTL {
			delete(a.adapters, ref)
		}
	}
}

// Idle reports whether no attempt is running or waiting.
func (a *Agent) Idle() bool {
	return len(a.work) == 0
}

// Stats returns the counters.
func (a *Agent) Stats() AgentStats {
	return a.stats
}

// Slots returns a copy of the slots.
func (a *Agent) Slots() []SlotView {
	views := make([]SlotView, 0, len(a.slots))
	for i := range a.slots {
		s := &a.slots[i]
		v := SlotView{
			State:    s.state,
			Adapter:  s.ref,
			Draining: s.draining,
		}
		if ad := a.adapters[s.ref]; ad != nil {
			v.Running = ad.running
		}
		views = append(views, v)
	}
	return views
}

// observeWeight is the weight of a new observation in the moving averages of load and
// service times.
const observeWeight = 0.1

func (a *Agent) observeLoad(d time.Duration) {
	a.loadTime += time.Duration(observeWeight * float64(d-a.loadTime))
}

func (a *Agent) observeService(d time.Duration) {
	a.serveTime += time.Duration(observeWeight * float64(d-a.serveTime))
}
