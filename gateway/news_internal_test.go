package gateway

import (
	"testing"

	"wardturn"
)

func TestLongChangesAreNotTold(t *testing.T) {
	short := &wardturn.MemberChange{
		From:  3,
		To:    9,
		Ended: make([]wardturn.UpstreamID, mostTold),
	}
	if got := shortened(short); got != short {
		t.Errorf("a change of %d upstreams is told as %+v", mostTold, got)
	}
	long := &wardturn.MemberChange{
		From:    3,
		To:      9,
		Changed: make([]wardturn.Member, mostTold),
		Ended:   make([]wardturn.UpstreamID, 1),
	}
	got := shortened(long)
	if got.From >= 0 || got.To != 9 || len(got.Changed)+len(got.Ended) > 0 {
		t.Errorf("a long change is told as %+v", got)
	}
}

// A configuration of 400 kB, told by a gateway on 10 Mbit/s, held up its requests and what it
// tells for 2 s.
func TestShareableRecords(t *testing.T) {
	const link = 10_000_000 / 8 // bytes a second
	for size, want := range map[int]bool{
		10_000:  true,
		400_000: false,
	} {
		r := &wardturn.ConfigRecords{
			Entries: []wardturn.ConfigEntry{
				{
					Key:   "config",
					Value: make([]byte, size),
				},
			},
		}
		if got := shareable(r) != nil; got != want {
			t.Errorf("%d bytes: told %v, want %v", size, got, want)
		}
	}
	if ways := 2 * 3; ways*maxRecordBytes > link/8 {
		t.Errorf("%d bytes to %d keepers take more than an eighth of a second", maxRecordBytes, ways)
	}
	if shareable(nil) != nil {
		t.Error("no records are told")
	}
}
