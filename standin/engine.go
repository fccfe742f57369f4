package standin

import (
	"slices"
	"sync"
	"time"

	"wardturn"
)

// EngineConfig configures a model engine.
type EngineConfig struct {
	Slots         int           // adapter slots
	MaxBatch      int           // maximum number of sequences in a step
	StepTokens    int           // maximum number of tokens in a step
	StepBase      time.Duration // duration of an empty step
	StepSequence  time.Duration // added for each decoding sequence
	StepPrompt    time.Duration // added for each prompt token
	UnloadTime    time.Duration // duration of an unload
	ReportAge     time.Duration // age of reports
	ChecksFences  bool          // orders with an old fence are refused, repeated ones ignored
	PrefixEntries int           // entries of the prefix cache
	PrefixShare   float64       // fraction of a cached prompt that needs no prefill
}

// DefaultEngine returns the configuration that the demo and the experiments use. A step
// takes about 22 ms, and a quarter longer when the batch is full.
func DefaultEngine() EngineConfig {
	return EngineConfig{
		Slots:         8,
		MaxBatch:      16,
		StepTokens:    512,
		StepBase:      20 * time.Millisecond,
		StepSequence:  250 * time.Microsecond,
		StepPrompt:    40 * time.Microsecond,
		UnloadTime:    5 * time.Millisecond,
		ReportAge:     500 * time.Millisecond,
		ChecksFences:  true,
		PrefixEntries: 64,
		PrefixShare:   0.5,
	}
}

// Generation is a request to an engine. OnToken is called for each output token and OnEnd
// once, both without the engine's lock held.
type Generation struct {
	Request wardturn.EngineRequest
	OnToken func(index int)
	OnEnd   func(wardturn.EngineResult, error)
}

// EngineStats are counters of an engine's steps.
type EngineStats struct {
	Steps     int
	Sequences int // summed over the steps
	Tokens    int // prompt and output, summed over the steps
}

// Engine is a fake of a model engine with continuous batching and adapter slots.
type Engine struct {
	clock wardturn.Clock
	store wardturn.Store
	cfg   EngineConfig

	mu       sync.Mutex
	fence    wardturn.Fence
	resident []residentAdapter
	orders   map[wardturn.OrderID]bool // executed orders under the current fence
	loading  []wardturn.AdapterRef
	waiting  []*sequence
	active   []*sequence
	stepping bool
	stats    EngineStats
	reports  []wardturn.EngineReport
	prefixes []prefixKey // most recent last
	restarts int
	seq      uint64

	pendingEvents []event // undelivered callbacks
	delivering    bool    // a goroutine is delivering them
}

type residentAdapter struct {
	ref     wardturn.AdapterRef
	running int
}

type sequence struct {
	gen      Generation
	seq      uint64
	prompt   int // remaining tokens
	output   int // remaining tokens
	produced int // output tokens
	cancel   bool
}

type prefixKey struct {
	ref  wardturn.AdapterRef
	path string
}

// NewEngine returns an engine without adapters that fetches weights from store.
func NewEngine(clock wardturn.Clock, store wardturn.Store, cfg EngineConfig) *Engine {
	return &Engine{
		clock:  clock,
		store:  store,
		cfg:    cfg,
		orders: make(map[wardturn.OrderID]bool),
	}
}

// Submit starts a generation. It returns ErrNotLoaded if the adapter version is not
// loaded.
func (e *Engine) Submit(gen Generation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.residentIndex(gen.Request.Adapter)
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
	e.startStepping()
	return nil
}

// Cancel ends a generation by the end of the current step, without a call of OnEnd.
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
			e.releaseAdapter(s)
			return
		}
	}
}

// residentIndex returns the index of a resident adapter version, or -1.
func (e *Engine) residentIndex(ref wardturn.AdapterRef) int {
	return slices.IndexFunc(e.resident, func(r residentAdapter) bool {
		return r.ref == ref
	})
}

// releaseAdapter releases the reference of a sequence to its adapter.
func (e *Engine) releaseAdapter(s *sequence) {
	if i := e.residentIndex(s.gen.Request.Adapter); i >= 0 {
		e.resident[i].running = max(0, e.resident[i].running-1)
	}
}

// startStepping starts the step loop if it is not running.
func (e *Engine) startStepping() {
	if e.stepping {
		return
	}
	e.stepping = true
	e.beginStep()
}

// Restart restarts the engine as after a crash. It holds no adapters then, and all
// generations in progress end with ErrUnavailable.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.restarts++
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
			s.gen.OnEnd(wardturn.EngineResult{}, wardturn.ErrUnavailable)
		}
	}
}

// Report returns the engine's state as it was ReportAge ago.
func (e *Engine) Report() wardturn.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.reports = append(e.reports, e.currentReport(now))
	limit := now.Add(-e.cfg.ReportAge)
	expired := 0
	for expired+1 < len(e.reports) && !e.reports[expired+1].At.After(limit) {
		expired++
	}
	e.reports = slices.Delete(e.reports, 0, expired)
	return e.reports[0]
}

// currentReport returns the current state.
func (e *Engine) currentReport(now time.Time) wardturn.EngineReport {
	rep := wardturn.EngineReport{
		At:      now,
		Fence:   e.fence,
		Slots:   e.cfg.Slots,
		Batch:   e.cfg.MaxBatch,
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
