package decide_test

import (
	"testing"

	"wardturn"
	"wardturn/decide"
)

// A few requests with long bodies can exceed the memory of an upstream, so their bytes are
// bounded as well as their number.
func TestBodiesAtAnUpstreamAreBounded(t *testing.T) {
	const (
		maxBytes = 4 << 20
		longBody = 1 << 20
	)
	x := newFleetFixture()
	x.f.ApplySettings(decide.FleetConfig{
		MaxBodyBytes: maxBytes,
	})
	for _, m := range fleetMembers() {
		x.f.ApplyEngineUpdate(x.now, m.ID, decide.EngineUpdate{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Full:      true,
			Adapters:  []decide.HeldVersion{readyAdapter("a", 1)},
			Gateways:  2,
		}, &x.out)
	}
	admit := func(id string, body int) {
		request := x.newRequest(id, "a")
		request.Body = body
		x.f.Admit(x.now, request, &x.out)
	}
	admit("alone", 2*maxBytes) // over the bound, but the only one there
	first := x.assigned["alone"].Member.ID
	if first == "" {
		t.Fatal("a single long request is not sent")
	}
	bytesAt := make(map[string]int)
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		admit(id, longBody)
		if a, ok := x.assigned[id]; ok {
			bytesAt[string(a.Member.ID)] += longBody
		}
	}
	if bytesAt[string(first)] > 0 {
		t.Error("more bodies are sent to an upstream over the bound")
	}
	for id, bytes := range bytesAt {
		if bytes > maxBytes/2 {
			t.Errorf("%s got %d bytes from one of two gateways, want at most %d", id, bytes, maxBytes/2)
		}
	}
	if len(x.assigned) != 7 {
		t.Errorf("%d requests sent, want 7: two at each of three engines and the long one", len(x.assigned))
	}
	x.f.ReleaseBody(first, 2*maxBytes)
	x.tick(0)
	if len(x.assigned) != 9 {
		t.Errorf("%d requests sent after the long one ended, want 9", len(x.assigned))
	}
}
