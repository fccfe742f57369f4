package gateway

import (
	"testing"
	"time"

	"wardturn/decide"
)

// An upstream closes the connection of a response that the caller does not read. That must
// not count as a fault of the upstream.
func TestEndingOfUnreadAnswers(t *testing.T) {
	for write, want := range map[time.Duration]decide.Outcome{
		slowWriteTime / 4: decide.OutcomeBroken,
		slowWriteTime:     decide.OutcomeUnknown,
	} {
		x := &exchange{
			timing: timing{
				maxWrite: write,
			},
		}
		if got := x.upstreamOutcome(resultTruncated); got != want {
			t.Errorf("truncated after a write to the caller took %v: outcome %v, want %v", write, got, want)
		}
		if got := x.upstreamOutcome(resultErrorForwarded); got != decide.OutcomeError {
			t.Errorf("error response of the upstream: outcome %v, want %v", got, decide.OutcomeError)
		}
	}
}
