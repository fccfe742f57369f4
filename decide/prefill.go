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
	registered       int       // tokens of this gateway's prompts that take turns, not in own
	others           int       // tokens of other gateways' prompts
	othersReportedAt time.Time // when others was last reported
	reportDue        bool      // own has to be sent to the keeper
}

// PrefillReport tells a keeper how many tokens of this gateway's long prompts its engine is
// prefilling.
type PrefillReport struct {
	Upstream wardturn.UpstreamID
	Tokens   int
}

// addPrefill adds the tokens of a prompt whose prefill starts at an engine. A negative
// number removes a prompt whose prefill has finished.
func (f *Fleet) addPrefill(m *Member, tokens wardturn.Tokens) {
	m.prefillTokens = max(0, m.prefillTokens+int(tokens))
	if tokens < minReportedPrompt && tokens > -minReportedPrompt {
		return
	}
	m.prefill.own = max(0, m.prefill.own+int(tokens))
	f.queuePrefillReport(m)
}

// reservePrefill counts the prompt of a waiting request at the engine that loads its
// adapter as if the engine were already prefilling it. A nil member removes the prompt from
// the count. Without this, an engine that loads adapters for several long prompts looks
// idle until all of them arrive there at once.
func (f *Fleet) reservePrefill(r *PendingRequest, m *Member) {
	if r.prefillAt == m {
		return
	}
	if r.prefillAt != nil {
		f.addPrefill(r.prefillAt, -r.Prompt)
	}
	r.prefillAt = m
	if m != nil {
		f.addPrefill(m, r.Prompt)
	}
}

func (f *Fleet) reserveAllPrefill(missing *missingAdapter, m *Member) {
	for _, r := range missing.waiting {
		f.reservePrefill(r, m)
	}
}

func (f *Fleet) queuePrefillReport(m *Member) {
	if m.prefill.reportDue {
		return
	}
	m.prefill.reportDue = true
	f.reportsDue = append(f.reportsDue, m)
}

// PrefillReports returns the counts that changed since they were last sent to the
// keepers, and marks them as sent.
func (f *Fleet) PrefillReports() []PrefillReport {
	var reports []PrefillReport
	for _, m := range f.reportsDue {
		m.prefill.reportDue = false
		if m.prefill.reported == m.prefill.own {
			continue
		}
		m.prefill.reported = m.prefill.own
		reports = append(reports, PrefillReport{
			Upstream: m.ID,
			Tokens:   m.prefill.own,
		})
	}
	f.reportsDue = nil
	return reports
}

// setPrefill records a keeper's report of all long prompts that its engine is prefilling.
func (f *Fleet) setPrefill(now time.Time, m *Member, u EngineUpdate) {
	if u.Full { // new connection: the keeper has no counts of this gateway
		m.prefill.reported = 0
		if m.prefill.own > 0 {
			f.queuePrefillReport(m)
		}
	}
	m.prefill.others = max(0, u.PrefillTokens-m.prefill.reported-m.prefill.registered)
	m.prefill.othersReportedAt = now
}

// pendingPrefill returns the known number of prompt tokens that an engine has to prefill
// before a new prompt.
func (m *Member) pendingPrefill(now time.Time) int {
	if now.Sub(m.prefill.othersReportedAt) > prefillReportTTL {
		return m.prefillTokens
	}
	return m.prefillTokens + m.prefill.others
}
