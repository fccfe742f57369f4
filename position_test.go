package wardturn_test

import (
	"fmt"
	"math"
	"testing"

	"wardturn"
)

func ExampleNewPosition() {
	before := wardturn.NewPosition(1, 900)
	after := wardturn.NewPosition(2, 7)
	fmt.Println(before, after, after > before, after.Era(), after.Offset())
	// Output: 1/900 2/7 true 2 7
}

// TestPositionStaysInBounds guards against an overflow: with parts out of range, a position
// must not become negative.
func TestPositionStaysInBounds(t *testing.T) {
	p := wardturn.NewPosition(math.MaxInt64, math.MaxInt64)
	if p < 0 || p.Era() != wardturn.MaxEra || p.Offset() != wardturn.MaxOffset {
		t.Errorf("%d: %v", p, p)
	}
}
