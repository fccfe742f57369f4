package capacity_test

import (
	"testing"

	"wardturn/capacity"
)

// Readings of the store must not grow with the gateways: that is what sharing
// them is for.
func TestStoreReadsDoNotGrowWithGateways(t *testing.T) {
	s := capacity.StoreReads()
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	t.Logf("reads an hour: %v", s.Points)
	if last.Cost > 4*first.Cost {
		t.Errorf("%.0f gateways read %.0f times an hour, %.0f read %.0f times", last.Size, last.Cost, first.Size, first.Cost)
	}
}
