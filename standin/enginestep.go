package standin

import (
	"slices"
	"time"

	"wardturn"
)

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
