package gateway

import (
	"context"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/process"
)

// The process may be suspended between the choice of an engine and the send. Its adapter
// version may then be retired before the send is tracked, so that nothing aborts it.
func TestWatchStartRefusesRetiredVersion(t *testing.T) {
	g := &Gateway{
		clock:        process.Clock{},
		pendingSends: newPendingSends(),
		fleet: decide.NewFleet(decide.FleetConfig{
			VersionBound: 5 * time.Second,
		}),
	}
	key := wardturn.ModelAdapter{
		Model:   "m",
		Adapter: "a",
	}
	x := &exchange{
		g:   g,
		key: key,
		route: &wardturn.Route{
			Streaming: true,
		},
	}
	old := assignment{
		Version: 1,
	}
	expectMaySend := func(when string, want bool) {
		t.Helper()
		_, stop, ok := x.watchStart(context.Background(), old)
		stop()
		if ok != want {
			t.Errorf("%s: may be sent %t, want %t", when, ok, want)
		}
	}
	publish := func(v wardturn.Version, known time.Time) {
		var out decide.Actions
		g.fleet.VersionAnnounced(g.clock.Now(), wardturn.AdapterVersion{
			Model:   key.Model,
			Adapter: key.Adapter,
			Version: v,
		}, known, &out)
	}
	expectMaySend("no newer version", true)
	publish(2, g.clock.Now())
	expectMaySend("newer version just published", true)
	x.key.Adapter, key.Adapter = "b", "b"
	publish(2, g.clock.Now().Add(-time.Minute))
	expectMaySend("newer version published a minute ago", false)
	if len(g.pendingSends.sends) != 0 {
		t.Errorf("%d sends are still tracked as not started, want none", len(g.pendingSends.sends))
	}
}
