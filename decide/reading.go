package decide

import (
	"time"

	"wardturn"
)

// prefillReportTTL is how long a keeper's report of the prompts its engine is prefilling
// for other gateways stays valid. It exceeds the prefill time of the longest prompt, and
// is short enough that a hung keeper does not keep requests away from its engine.
const prefillReportTTL = 1500 * time.Millisecond

const (
	// longPrompt is the shortest prompt, in tokens, for which a request waits for an
	// engine that can prefill it within the objective.
	longPrompt wardturn.Tokens = 4096
	// minReportedPrompt is the shortest prompt that gateways report to keepers. Shorter
	// prompts are prefilled within a few engine steps.
	minReportedPrompt wardturn.Tokens = 1024
)

// prefillCounts tracks the long prompts that an engine is prefilling. Requests sent to the
// engine meanwhile wait for them, so gateways share their counts through the engine's
// keeper.
type prefillCounts struct {
	own              int       // tokens of this gateway's prompts
	reported         int       // the value of own last sent to the keeper
	others           int       // tokens of other gateways' prompts
	othersReportedAt time.Time // when others was last reported
	reportDue        bool      // own has to be sent to the keeper
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
	m.prefillTokens = max(0, m.prefillTokens+int(tokens))
	if tokens < minReportedPrompt && tokens > -minReportedPrompt {
		return
	}
	m.reading.own = max(0, m.reading.own+int(tokens))
	f.queuePrefillReport(m)
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

func (f *Fleet) queuePrefillReport(m *Member) {
	if m.reading.reportDue {
		return
	}
	m.reading.reportDue = true
	f.reportsDue = append(f.reportsDue, m)
}

// Readings returns the counts that changed since they were last sent to the keepers, and
// marks them as sent.
func (f *Fleet) Readings() []ReadingNote {
	var notes []ReadingNote
	for _, m := range f.reportsDue {
		m.reading.reportDue = false
		if m.reading.reported == m.reading.own {
			continue
		}
		m.reading.reported = m.reading.own
		notes = append(notes, ReadingNote{
			Upstream: m.ID,
			Tokens:   m.reading.own,
		})
	}
	f.reportsDue = nil
	return notes
}

// setReading records a keeper's report of all long prompts that its engine is prefilling.
func (f *Fleet) setReading(now time.Time, m *Member, h Holding) {
	if h.Full { // new connection: the keeper has no counts of this gateway
		m.reading.reported = 0
		if m.reading.own > 0 {
			f.queuePrefillReport(m)
		}
	}
	m.reading.others = max(0, h.Reading-m.reading.reported)
	m.reading.othersReportedAt = now
}

// toRead returns the known number of prompt tokens that an engine has to prefill before a
// new prompt.
func (m *Member) toRead(now time.Time) int {
	if now.Sub(m.reading.othersReportedAt) > prefillReportTTL {
		return m.prefillTokens
	}
	return m.prefillTokens + m.reading.others
}
