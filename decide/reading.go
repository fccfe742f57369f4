package decide

import (
	"time"

	"wardturn"
)

// readingLife is how long a keeper's report of the prompts its engine is prefilling for
// other gateways stays valid. It exceeds the prefill time of the longest prompt, and is
// short enough that a hung keeper does not keep requests away from its engine.
const readingLife = 1500 * time.Millisecond

const (
	// longPrompt is the shortest prompt, in tokens, for which a request waits for an
	// engine that can prefill it within the objective.
	longPrompt wardturn.Tokens = 4096
	// toldPrompt is the shortest prompt that gateways report to keepers. Shorter prompts
	// are prefilled within a few engine steps.
	toldPrompt wardturn.Tokens = 1024
)

// reading tracks the long prompts that an engine is prefilling. Requests sent to the
// engine meanwhile wait for them, so gateways share their counts through the engine's
// keeper.
type reading struct {
	own      int       // tokens of this gateway's prompts
	told     int       // the value of own last sent to the keeper
	others   int       // tokens of other gateways' prompts
	othersAt time.Time // when others was last reported
	changed  bool      // own has to be sent to the keeper
}

// ReadingNote tells a keeper how many tokens of this gateway's long prompts its engine is
// prefilling.
type ReadingNote struct {
	Upstream wardturn.UpstreamID
	Tokens   int
}

// reads adds the tokens of a prompt whose prefill starts at an engine. A negative number
// removes a prompt whose prefill has finished.
func (f *Fleet) reads(m *Member, tokens wardturn.Tokens) {
	m.prefill = max(0, m.prefill+int(tokens))
	if tokens < toldPrompt && tokens > -toldPrompt {
		return
	}
	m.reading.own = max(0, m.reading.own+int(tokens))
	f.tellReading(m)
}

// book counts the prompt of a waiting request at the engine that loads its adapter as if
// the engine were already prefilling it. A nil member removes the prompt from the count.
// Without this, an engine that loads adapters for several long prompts looks idle until
// all of them arrive there at once.
func (f *Fleet) book(t *Ticket, m *Member) {
	if t.booked == m {
		return
	}
	if t.booked != nil {
		f.reads(t.booked, -t.Prompt)
	}
	t.booked = m
	if m != nil {
		f.reads(m, t.Prompt)
	}
}

func (f *Fleet) bookAll(w *want, m *Member) {
	for _, t := range w.waiting {
		f.book(t, m)
	}
}

func (f *Fleet) tellReading(m *Member) {
	if m.reading.changed {
		return
	}
	m.reading.changed = true
	f.readers = append(f.readers, m)
}

// Readings returns the counts that changed since they were last sent to the keepers, and
// marks them as sent.
func (f *Fleet) Readings() []ReadingNote {
	var notes []ReadingNote
	for _, m := range f.readers {
		m.reading.changed = false
		if m.reading.told == m.reading.own {
			continue
		}
		m.reading.told = m.reading.own
		notes = append(notes, ReadingNote{
			Upstream: m.ID,
			Tokens:   m.reading.own,
		})
	}
	f.readers = nil
	return notes
}

// setReading records a keeper's report of all long prompts that its engine is prefilling.
func (f *Fleet) setReading(now time.Time, m *Member, h Holding) {
	if h.Full { // new connection: the keeper has no counts of this gateway
		m.reading.told = 0
		if m.reading.own > 0 {
			f.tellReading(m)
		}
	}
	m.reading.others = max(0, h.Reading-m.reading.told)
	m.reading.othersAt = now
}

// toRead returns the known number of prompt tokens that an engine has to prefill before a
// new prompt.
func (m *Member) toRead(now time.Time) int {
	if now.Sub(m.reading.othersAt) > readingLife {
		return m.prefill
	}
	return m.prefill + m.reading.others
}
