package gateway

import (
	"context"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/process"
)

// A request may be stopped for long between the choice of its engine and its send. By
// then its version may have ended, with nothing under way to be broken off.
func TestWatchBeginRefusesAnEndedVersion(t *testing.T) {
	g := &Gateway{
		clock:      process.Clock{},
		notStarted: newNotStarted(),
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
	check := func(when string, want bool) {
		t.Helper()
		_, stop, ok := x.watchBegin(context.Background(), old)
		stop()
		if ok != want {
			t.Errorf("%s: may be sent %t, want %t", when, ok, want)
		}
	}
	name := func(v wardturn.Version, known time.Time) {
		var out decide.Moves
		g.fleet.SetVersion(g.clock.Now(), wardturn.AdapterVersion{
			Model:   key.Model,
			Adapter: key.Adapter,
			Version: v,
		}, known, &out)
	}
	check("no newer version", true)
	name(2, g.clock.Now())
	check("newer version just named", true)
	x.key.Adapter, key.Adapter = "b", "b"
	name(2, g.clock.Now().Add(-time.Minute))
	check("newer version there for a minute", false)
	if len(g.notStarted.sends) != 0 {
		t.Errorf("%d requests count as not begun, want none", len(g.notStarted.sends))
	}
}
