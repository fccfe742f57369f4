package decide

import (
	"time"

	"wardturn"
)

// readingLife is how long the word on prompts that an engine reads for other gateways is
// believed: over the time of the longest, and short enough that a keeper which hangs does
// not keep requests from its engine.
const readingLife = 1500 * time.Millisecond

const (
	// longPrompt is the least prompt, in tokens, for which a request waits for an engine
	// that has it begin in time.
	longPrompt wardturn.Tokens = 4096
	// toldPrompt is the least prompt that gateways tell keepers of: shorter ones are read
	// within some steps of the engine.
	toldPrompt wardturn.Tokens = 1024
)

// reading is what is known of the long prompts that an engine reads. Requests
// sent there meanwhile wait for their end, so gateways tell each other of them
// through the keeper.
type reading struct {
	own      int       // tokens of this gateway's
	told     int       // of them, as its keeper was last told
	others   int       // tokens of other gateways'
	othersAt time.Time // of that word
	changed  bool      // own has to be told
}

// ReadingNote tells a keeper how many tokens of long prompts of this gateway its
// engine is reading.
type ReadingNote struct {
	Upstream wardturn.UpstreamID
	Tokens   int
}

// reads adds the tokens of a prompt that an engine begins, or with a negative
// number ends, to read.
func (f *Fleet) reads(m *Member, tokens wardturn.Tokens) {
	m.prefill = max(0, m.prefill+int(tokens))
	if tokens < toldPrompt && tokens > -toldPrompt {
		return
	}
	m.reading.own = max(0, m.reading.own+int(tokens))
	f.tellReading(m)
}

// book counts the prompt of a waiting request at the engine that loads its adapter,
// as if that read it already; nil ends that. Otherwise an engine that loads for
// several long prompts looks idle until they all arrive there together.
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

// Readings returns what keepers have to be told, once.
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

// setReading takes a keeper's word on all long prompts that its engine reads.
func (f *Fleet) setReading(now time.Time, m *Member, h Holding) {
	if h.Full { // the connection is new: the keeper knows nothing of this gateway
		m.reading.told = 0
		if m.reading.own > 0 {
			f.tellReading(m)
		}
	}
	m.reading.others = max(0, h.Reading-m.reading.told)
	m.reading.othersAt = now
}

// toRead returns the tokens of prompts that an engine reads before another, as
// far as known.
func (m *Member) toRead(now time.Time) int {
	if now.Sub(m.reading.othersAt) > readingLife {
		return m.prefill
	}
	return m.prefill + m.reading.others
}
