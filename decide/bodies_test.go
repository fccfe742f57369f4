package decide_test

import (
	"testing"

	"wardturn"
	"wardturn/decide"
)

// A few long requests take an upstream beyond its memory, however small their number is.
func TestBodiesAtAnUpstreamAreBounded(t *testing.T) {
	const (
		most = 4 << 20
		long = 1 << 20
	)
	x := newFleetRig()
	x.f.Retune(decide.FleetConfig{
		MostBodies: most,
	})
	for _, m := range fleetMembers() {
		x.f.SetHolding(x.now, m.ID, decide.Holding{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Full:      true,
			Adapters:  []decide.HeldVersion{readyAdapter("a", 1)},
			Gateways:  2,
		}, &x.out)
	}
	admit := func(id string, body int) {
		request := x.ticket(id, "a")
		request.Body = body
		x.f.Admit(x.now, request, &x.out)
	}
	admit("alone", 2*most) // beyond the bound, but nothing is beside it
	first := x.got["alone"].Member.ID
	if first == "" {
		t.Fatal("a long request alone is not sent")
	}
	at := make(map[string]int)
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		admit(id, long)
		if a, ok := x.got[id]; ok {
			at[string(a.Member.ID)] += long
		}
	}
	if at[string(first)] > 0 {
		t.Error("more bodies go where the bound is passed")
	}
	for id, bytes := range at {
		if bytes > most/2 {
			t.Errorf("%s is given %d bytes by one of two gateways, at most %d", id, bytes, most/2)
		}
	}
	if len(x.got) != 7 {
		t.Errorf("%d requests are sent, want 7: 2 beside each other at three engines, 1 alone", len(x.got))
	}
	x.f.Freed(first, 2*most)
	x.tick(0)
	if len(x.got) != 9 {
		t.Errorf("%d requests are sent after the long one ended, want 9", len(x.got))
	}
}
