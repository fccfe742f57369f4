package standin

import (
	"slices"
	"sync"
	"time"

	"wardturn"
)

// EngineConfig sizes a model engine.
type EngineConfig struct {
	Slots         int           // adapter slots
	Batch         int           // sequences in a step at most
	StepTokens    int           // tokens in a step at most
	StepBase      time.Duration // time of an empty step
	StepSequence  time.Duration // added for each decoding sequence
	StepPrompt    time.Duration // added for each prompt token
	Unload        time.Duration // time of an unload
	ReportLag     time.Duration // age of the reports
	ChecksFences  bool
	PrefixEntries int     // prompts in the prefix cache
	PrefixShare   float64 // part of a cached prompt that need not run again
}

// DefaultEngine returns the engine that the demo and the experiments use: a
// step of about 22 ms that slows by a quarter when it is full.
func DefaultEngine() EngineConfig {
	return EngineConfig{
		Slots:         8,
		Batch:         16,
		StepTokens:    512,
		StepBase:      20 * time.Millisecond,
		StepSequence:  250 * time.Microsecond,
		StepPrompt:    40 * time.Microsecond,
		Unload:        5 * time.Millisecond,
		ReportLag:     500 * time.Millisecond,
		ChecksFences:  true,
		PrefixEntries: 64,
		PrefixShare:   0.5,
	}
}

// Generation is a request as the engine sees it. The callbacks come without the
// engine's lock held: Token for each output token, End
// once.
type Generation struct {
	Request wardturn.EngineRequest
	Token   func(index int)
	End     func(wardturn.EngineResult, error)
}

// EngineStats counts an engine's steps.
type EngineStats struct {
	Steps     int
	Sequences int // summed over the steps
	Tokens    int // prompt and output, summed over the steps
}

// Engine is a continuous-batching model engine with adapter slots.
type Engine struct {
	clock wardturn.Clock
	store wardturn.Store
	cfg   EngineConfig

	mu       sync.Mutex
	fence    wardturn.Fence
	resident []residentAdapter
	orders   map[wardturn.OrderID]bool // carried out, for the present fence
	loading  []wardturn.AdapterRef
	waiting  []*sequence
	active   []*sequence
	stepping bool
	stats    EngineStats
	reports  []wardturn.EngineReport
	prefixes []prefixKey // most recent last
	starts   int
	seq      uint64

	pending    []event // callbacks to make
	delivering bool    // a goroutine is making them
}

type residentAdapter struct {
	ref     wardturn.AdapterRef
	running int
}

type sequence struct {
	gen    Generation
	seq    uint64
	prompt int // tokens left
	output int // tokens left
	made   int
	cancel bool
}

type prefixKey struct {
	ref  wardturn.AdapterRef
	path string
}

// NewEngine returns an empty engine that reads weights from store.
func NewEngine(clock wardturn.Clock, store wardturn.Store, cfg EngineConfig) *Engine {
	return &Engine{
		clock:  clock,
		store:  store,
		cfg:    cfg,
		orders: make(map[wardturn.OrderID]bool),
	}
}

// Submit starts a generation. It returns ErrNotLoaded if the engine does not
// hold the adapter version.
func (e *Engine) Submit(gen Generation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.find(gen.Request.Adapter)
	if i < 0 {
		return wardturn.ErrNotLoaded
	}
	e.resident[i].running++
	e.seq++
	s := &sequence{
		gen:    gen,
		seq:    e.seq,
		prompt: max(1, int(gen.Request.Prompt)),
		output: max(1, int(gen.Request.Output)),
	}
	e.waiting = append(e.waiting, s)
	e.wake()
	return nil
}

// Cancel ends a generation at the next step, without a call of End.
func (e *Engine) Cancel(id wardturn.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.active {
		if s.gen.Request.Attempt == id {
			s.cancel = true
		}
	}
	for i, s := range e.waiting {
		if s.gen.Request.Attempt == id {
			e.waiting = slices.Delete(e.waiting, i, i+1)
			e.unpin(s)
			return
		}
	}
}

func (e *Engine) find(ref wardturn.AdapterRef) int {
	return slices.IndexFunc(e.resident, func(r residentAdapter) bool {
		return r.ref == ref
	})
}

func (e *Engine) unpin(s *sequence) {
	if i := e.find(s.gen.Request.Adapter); i >= 0 {
		e.resident[i].running = max(0, e.resident[i].running-1)
	}
}

// wake starts the step loop if it stands still.
func (e *Engine) wake() {
	if e.stepping {
		return
	}
	e.stepping = true
	e.beginStep()
}

// beginStep fills the step and sets the time of its end.
func (e *Engine) beginStep() {
	e.fill()
	if len(e.active) == 0 {
		e.stepping = false
		return
	}
	work := e.stepWork()
	e.stats.Steps++
	e.stats.Sequences += len(e.active)
	e.stats.Tokens += work.decoding + work.prompt
	took := e.cfg.StepBase +
		time.Duration(work.decoding)*e.cfg.StepSequence +
		time.Duration(work.prompt)*e.cfg.StepPrompt
	start := e.starts
	e.clock.AfterFunc(took, func() {
		e.endStep(start, work)
	})
}

// fill moves waiting sequences into the batch, by priority and then age.
func (e *Engine) fill() {
	for len(e.active) < e.cfg.Batch && len(e.waiting) > 0 {
		best := 0
		for i, s := range e.waiting {
			if s.gen.Request.Priority < e.waiting[best].gen.Request.Priority {
				best = i
			}
		}
		s := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.reusePrefix(s)
		e.active = append(e.active, s)
	}
}

// reusePrefix shortens a prompt whose prefix the engine still holds.
func (e *Engine) reusePrefix(s *sequence) {
	key := prefixKey{
		ref:  s.gen.Request.Adapter,
		path: s.gen.Request.Path,
	}
	if i := slices.Index(e.prefixes, key); i >= 0 {
		s.prompt = max(1, int(float64(s.prompt)*(1-e.cfg.PrefixShare)))
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
	}
	e.prefixes = append(e.prefixes, key)
	if len(e.prefixes) > e.cfg.PrefixEntries {
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
}

type stepWork struct {
	decoding int
	prompt   int
	chunks   []int // prompt tokens by place in active
}

// stepWork divides the step's tokens: one for each decoding sequence, the rest
// to prompts in order of priority.
func (e *Engine) stepWork() stepWork {
	w := stepWork{
		chunks: make([]int, len(e.active)),
	}
	for _, s := range e.active {
		if s.prompt == 0 {
			w.decoding++
		}
	}
	left := e.cfg.StepTokens - w.decoding
	for _, class := range []bool{true, false} {
		for i, s := range e.active {
			urgent := s.gen.Request.Priority <= 0
			if s.prompt == 0 || urgent != class {
				continue
			}
			n := min(s.prompt, max(left, 0))
			w.chunks[i] = n
			w.prompt += n
			left -= n
		}
	}
	return w
}

// event is a callback to make after the lock is released.
type event struct {
	s    *sequence
	made int // index of the token, or -1
	end  bool
	err  error
}

func (e *Engine) endStep(start int, work stepWork) {
	e.mu.Lock()
	if start != e.starts {
		e.mu.Unlock()
		return
	}
	var events []event
	kept := e.active[:0]
	for i, s := range e.active {
		more, evs := e.advance(s, work.chunks[i])
		events = append(events, evs...)
		if more {
			kept = append(kept, s)
			continue
		}
		e.unpin(s)
	}
	e.active = kept
	e.pending = append(e.pending, events...)
	e.beginStep()
	e.mu.Unlock()
	e.deliverPending()
}

// deliverPending makes the callbacks in the order of the steps. The next step may
// end while one goroutine is still at it; that one then delivers both.
func (e *Engine) deliverPending() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.delivering {
		return
	}
	e.delivering = true
	for len(e.pending) > 0 {
		events := e.pending
		e.pending = nil
		e.mu.Unlock()
		e.deliver(events)
		e.mu.Lock()
	}
	e.delivering = false
}

// advance lets one sequence take its part of a step and reports whether it goes
// on.
func (e *Engine) advance(s *sequence, chunk int) (bool, []event) {
	if s.cancel {
		return false, nil
	}
	if s.prompt > 0 {
		s.prompt -= chunk
		if s.prompt > 0 {
			return true, nil
		}
	}
	s.output--
	token := event{
		s:    s,
		made: s.made,
		end:  s.output == 0,
	}
	s.made++
	return !token.end, []event{token}
}

func (e *Engine) deliver(events []event) {
	for _, ev := range events {
		gen := ev.s.gen
		if ev.made >= 0 && gen.Token != nil {
			gen.Token(ev.made)
		}
		if !ev.end {
			continue
		}
		res := wardturn.EngineResult{
			Adapter: gen.Request.Adapter,
			Output:  wardturn.Tokens(ev.s.made),
		}
		gen.End(res, ev.err)
	}
}

// Load fetches an adapter version into a free slot and calls done once.
func (e *Engine) Load(order wardturn.SlotOrder, done func(error)) {
	e.mu.Lock()
	again, err := e.accept(order)
	if err == nil && !again && e.find(order.Adapter) < 0 {
		err = e.reserve(order)
	} else if err == nil {
		again = true
	}
	start := e.starts
	e.mu.Unlock()
	if err != nil || again {
		done(err)
		return
	}
	e.store.Fetch(order.Adapter, func(err error) {
		done(e.loaded(start, order, err))
	})
}

// accept checks the fence and whether the order was carried out before.
func (e *Engine) accept(order wardturn.SlotOrder) (again bool, err error) {
	if !e.cfg.ChecksFences {
		return false, nil
	}
	if order.Fence < e.fence {
		return false, wardturn.ErrFenced
	}
	if order.Fence > e.fence {
		e.fence = order.Fence
		clear(e.orders)
	}
	return e.orders[order.ID], nil
}

func (e *Engine) reserve(order wardturn.SlotOrder) error {
	if slices.Contains(e.loading, order.Adapter) {
		return wardturn.ErrNoSlot
	}
	if len(e.resident)+len(e.loading) >= e.cfg.Slots {
		return wardturn.ErrNoSlot
	}
	e.loading = append(e.loading, order.Adapter)
	return nil
}

func (e *Engine) loaded(start int, order wardturn.SlotOrder, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if start != e.starts {
		return wardturn.ErrUnavailable
	}
	if i := slices.Index(e.loading, order.Adapter); i >= 0 {
		e.loading = slices.Delete(e.loading, i, i+1)
	}
	if err != nil {
		return err
	}
	e.orders[order.ID] = true
	e.resident = append(e.resident, residentAdapter{
		ref: order.Adapter,
	})
	return nil
}

// Unload frees the slot of an adapter version and calls done once.
func (e *Engine) Unload(order wardturn.SlotOrder, done func(error)) {
	err := e.unload(order)
	if err != nil {
		done(err)
		return
	}
	e.clock.AfterFunc(e.cfg.Unload, func() {
		done(nil)
	})
}

func (e *Engine) unload(order wardturn.SlotOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	again, err := e.accept(order)
	if err != nil || again {
		return err
	}
	i := e.find(order.Adapter)
	if i < 0 {
		return nil
	}
	if e.resident[i].running > 0 {
		return wardturn.ErrAdapterBusy
	}
	e.orders[order.ID] = true
	e.resident = slices.Delete(e.resident, i, i+1)
	return nil
}

// Restart empties the engine as a crash does. Every generation under way ends
// with ErrUnavailable.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.starts++
	lost := append(e.active, e.waiting...)
	e.active = nil
	e.waiting = nil
	e.resident = nil
	e.loading = nil
	e.prefixes = nil
	e.stepping = false
	e.reports = nil
	e.mu.Unlock()
	for _, s := range lost {
		if !s.cancel {
			s.gen.End(wardturn.EngineResult{}, wardturn.ErrUnavailable)
		}
	}
}

// Report returns the engine's view of itself as it was ReportLag ago.
func (e *Engine) Report() wardturn.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.reports = append(e.reports, e.view(now))
	limit := now.Add(-e.cfg.ReportLag)
	old := 0
	for old+1 < len(e.reports) && !e.reports[old+1].At.After(limit) {
		old++
	}
	e.reports = slices.Delete(e.reports, 0, old)
	return e.reports[0]
}

func (e *Engine) view(now time.Time) wardturn.EngineReport {
	rep := wardturn.EngineReport{
		At:      now,
		Fence:   e.fence,
		Slots:   e.cfg.Slots,
		Batch:   e.cfg.Batch,
		Loading: slices.Clone(e.loading),
	}
	for _, r := range e.resident {
		rep.Resident = append(rep.Resident, wardturn.ResidentAdapter{
			Adapter: r.ref,
			Running: r.running,
		})
	}
	return rep
}

// Stats returns the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
