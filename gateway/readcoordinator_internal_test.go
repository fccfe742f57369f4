package gateway

import (
	"testing"

	"wardturn"
)

func TestLongChangesAreShortened(t *testing.T) {
	short := &wardturn.MemberChange{
		From:    3,
		To:      9,
		Expired: make([]wardturn.UpstreamID, maxAnnounced),
	}
	if got := shortened(short); got != short {
		t.Errorf("a change of %d upstreams is announced as %+v", maxAnnounced, got)
	}
	long := &wardturn.MemberChange{
		From:    3,
		To:      9,
		Changed: make([]wardturn.Member, maxAnnounced),
		Expired: make([]wardturn.UpstreamID, 1),
	}
	got := shortened(long)
	if got.From >= 0 || got.To != 9 || len(got.Changed)+len(got.Expired) > 0 {
		t.Errorf("a long change is announced as %+v", got)
	}
}
