package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// rankMetrics holds the metrics of the requests of one rank. Ranks beyond maxPriority are
// counted there.
type rankMetrics struct {
	refusals tally.Counter
	waits    tally.Histogram // from the arrival to each assignment of an upstream
}

func newRankMetrics(scope tally.Scope) (ranks [maxPriority + 1]rankMetrics) {
	for rank := range ranks {
		s := scope.Tagged(map[string]string{
			"rank": strconv.Itoa(rank),
		})
		ranks[rank] = rankMetrics{
			refusals: s.Counter("refusals"),
			waits:    s.Histogram("assignment_wait", latencies),
		}
	}
	return ranks
}

func (m *Metrics) ofRank(rank int) *rankMetrics {
	return &m.ranks[min(max(rank, 0), maxPriority)]
}

// refused counts a refused request.
func (m *Metrics) refused(rank int) {
	m.ofRank(rank).refusals.Inc(1)
}

// assigned records how long a request waited for an upstream.
func (m *Metrics) assigned(rank int, wait time.Duration) {
	m.ofRank(rank).waits.RecordDuration(wait)
}
