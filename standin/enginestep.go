package standin

import (
	"slices"
	"time"

	"wardturn"
)

// beginStep fills the batch and schedules the end of the step. Without sequences it stops
// the step loop.
func (e *Engine) beginStep() {
	e.fillBatch()
	if len(e.active) == 0 {
		e.stepping = false
		return
	}
	work := e.stepWork()
	e.stats.Steps++
	e.stats.Sequences += len(e.active)
	e.stats.Tokens += work.decoding + work.prompt
	duration := e.cfg.StepBase +
		time.Duration(work.decoding)*e.cfg.StepSequence +
		time.Duration(work.prompt)*e.cfg.StepPrompt
	restarts := e.restarts
	e.clock.AfterFunc(duration, func() {
		e.endStep(restarts, work)
	})
}

// fillBatch moves waiting sequences into the batch, ordered by priority and then by age.
func (e *Engine) fillBatch() {
	for len(e.active) < e.cfg.MaxBatch && len(e.waiting) > 0 {
		best := 0
		for i, s := range e.waiting {
			if s.gen.Request.Priority < e.waiting[best].gen.Request.Priority {
				best = i
			}
		}
		s := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.applyPrefixCache(s)
		e.active = append(e.active, s)
	}
}

// applyPrefixCache shortens a prompt whose prefix is in the prefix cache, and caches it.
func (e *Engine) applyPrefixCache(s *sequence) {
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

// stepWork is the work of one step.
type stepWork struct {
	decoding int   // sequences
	prompt   int   // tokens
	chunks   []int // prompt tokens by index in active
}

// stepWork divides the token budget of a step: one token for each decoding sequence, the
// rest for prompts, those with an urgent priority first.
func (e *Engine) stepWork() stepWork {
	w := stepWork{
		chunks: make([]int, len(e.active)),
	}
	for _, s := range e.active {
		if s.prompt == 0 {
			w.decoding++
		}
	}
	budget := e.cfg.StepTokens - w.decoding
	for _, wantUrgent := range []bool{true, false} {
		for i, s := range e.active {
			urgent := s.gen.Request.Priority <= 0
			if s.prompt == 0 || urgent != wantUrgent {
				continue
			}
			n := min(s.prompt, max(budget, 0))
			w.chunks[i] = n
			w.prompt += n
			budget -= n
		}
	}
	return w
}

// event is a callback that is called after the lock is released.
type event struct {
	s     *sequence
	token int // index of the token, or -1
	end   bool
	err   error
}

func (e *Engine) endStep(restarts int, work stepWork) {
	e.mu.Lock()
	if restarts != e.restarts {
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
		e.releaseAdapter(s)
	}
	e.active = kept
	e.pendingEvents = append(e.pendingEvents, events...)
	e.beginStep()
	e.mu.Unlock()
	e.deliverPending()
}

// deliverPending delivers pending callbacks in the order of the steps. If the next step
// ends while a goroutine is delivering, that goroutine also delivers its callbacks.
func (e *Engine) deliverPending() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.delivering {
		return
	}
	e.delivering = true
	for len(e.pendingEvents) > 0 {
		events := e.pendingEvents
		e.pendingEvents = nil
		e.mu.Unlock()
		e.deliver(events)
		e.mu.Lock()
	}
	e.delivering = false
}

// advance applies a step to a sequence. It reports whether the sequence continues.
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
		s:     s,
		token: s.produced,
		end:   s.output == 0,
	}
	s.produced++
	return !token.end, []event{token}
}

// deliver calls the callbacks of events.
func (e *Engine) deliver(events []event) {
	for _, ev := range events {
		gen := ev.s.gen
		if ev.token >= 0 && gen.OnToken != nil {
			gen.OnToken(ev.token)
		}
		if !ev.end {
			continue
		}
		res := wardturn.EngineResult{
			Adapter: gen.Request.Adapter,
			Output:  wardturn.Tokens(ev.s.produced),
		}
		gen.OnEnd(res, ev.err)
	}
}
