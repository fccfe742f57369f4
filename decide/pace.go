package decide

import (
	"slices"
	"time"

	"wardturn"
)

const (
	// paceSamples is how many streams' paces are kept of an engine. Their median
	// counts: a stream that met other prompts being read tells nothing.
	paceSamples = 3
	// paceLife is how long they are believed: an engine that was slow is tried
	// again with long prompts after a while.
	paceLife = 10 * time.Second
	// slowPace is the pace, as a part of the usual one, from which an engine
	// counts as slow: half of the way to 1.3, at which a third of the engines of
	// one site are.
	slowPace = 1.15
	// longPrompt is the least prompt, in tokens, that an engine reads in several
	// full steps. An engine of the usual pace stays within the pauses that
	// routes allow while it does, a slow one may not.
	longPrompt wardturn.Tokens = 4096
	// stallLoad is the number of requests at a slow engine from which on a long
	// prompt goes elsewhere: each of them would be late.
	stallLoad = 3
)

// pace is how fast an engine makes tokens, from the streams that it sent.
type pace struct {
	recent []time.Duration // between two events of a stream, the latest last
	at     time.Time       // of the latest
}

// Paced records the time between two events of a stream at an engine while
// nothing else held it up, as far as one stream can tell.
func (f *Fleet) Paced(now time.Time, id wardturn.UpstreamID, gap time.Duration) {
	m := f.members[id]
	if m == nil {
		return
	}
	if now.Sub(m.pace.at) > paceLife {
		m.pace.recent = nil
	}
	m.pace.at = now
	m.pace.recent = append(m.pace.recent, gap)
	if len(m.pace.recent) > paceSamples {
		m.pace.recent = m.pace.recent[1:]
	}
	f.usual[m.Service] = f.usualGap(now, m.Service)
}

// gap returns the typical time between two events, or zero if it is not known.
func (p *pace) gap(now time.Time) time.Duration {
	if len(p.recent) == 0 || now.Sub(p.at) > paceLife {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.recent))
	return sorted[len(sorted)/2]
}

// usualGap returns the time between two events at the engines of a service: that
// of the engine at the lower quarter, so that a half of them may be slow.
func (f *Fleet) usualGap(now time.Time, s wardturn.ServiceName) time.Duration {
	var gaps []time.Duration
	for _, m := range f.services[s] {
		if g := m.pace.gap(now); g > 0 {
			gaps = append(gaps, g)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/4]
}

// slowdown returns how many times as long as usual an engine takes; at least 1,
// also while nothing is known of it.
func (f *Fleet) slowdown(now time.Time, m *Member) float64 {
	gap := m.pace.gap(now)
	usual := f.usual[m.Service]
	if gap == 0 || usual == 0 {
		return 1
	}
	return max(1, float64(gap)/float64(usual))
}

// stalls reports whether reading the prompt of a request at an engine would make
// the streams that run there late: the engine is slow, and its pauses would be
// longer than routes allow. Where they are not, long prompts go to slow engines
// as well: kept away from a third of the engines, 0.492 of the worth was served
// for 0.519 (mean of five days).
func (f *Fleet) stalls(now time.Time, m *Member, prompt wardturn.Tokens) bool {
	return prompt >= longPrompt && m.load() >= stallLoad && f.slowdown(now, m) >= slowPace && f.pausesLate(now, m)
}
