package gateway

import (
	"testing"
	"time"

	"wardturn/decide"
)

// An upstream ends a response early if its caller does not read it. That must not count as
// a fault of the upstream.
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
		if got := x.ending(resultTruncated); got != want {
			t.Errorf("cut after a write to the caller took %v: ending %v, want %v", write, got, want)
		}
		if got := x.ending(resultErrorForwarded); got != decide.OutcomeError {
			t.Errorf("error response of the upstream: ending %v, want %v", got, decide.OutcomeError)
		}
	}
}
