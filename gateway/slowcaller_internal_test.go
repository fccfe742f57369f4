package gateway

import (
	"testing"
	"time"

	"wardturn/decide"
)

// An upstream cuts off an answer that its caller leaves unread: that is no fault of its own.
func TestEndingOfUnreadAnswers(t *testing.T) {
	for write, want := range map[time.Duration]decide.Ending{
		unreadTime / 4: decide.EndedBroken,
		unreadTime:     decide.EndedUnseen,
	} {
		x := &exchange{
			timing: timing{
				write: write,
			},
		}
		if got := x.ending(cut); got != want {
			t.Errorf("cut while the caller took %v for some bytes: ending %v, want %v", write, got, want)
		}
		if got := x.ending(erred); got != decide.EndedInError {
			t.Errorf("an error of the upstream's own: ending %v, want %v", got, decide.EndedInError)
		}
	}
}
