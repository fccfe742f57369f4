package gateway

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/process"
)

// The extra retries are a limit for all gateways together. A gateway that is connected to
// no keeper and assumes to be the only one would use the whole limit by itself.
func TestExtraResendsWithoutKeepers(t *testing.T) {
	const allowed, gateways = 96.0, 26
	g := &Gateway{
		cfg: Config{
			RetryExtra:  allowed,
			RetryWindow: 10 * time.Second,
		},
		clock: process.Clock{},
		fleet: decide.NewFleet(decide.FleetConfig{}),
	}
	perWindow := func() float64 {
		floor, burst := g.extraRetries()
		return floor*g.cfg.RetryWindow.Seconds() + burst
	}
	if got := gateways * perWindow(); got > allowed {
		t.Errorf("before any keeper has reported: %.0f retries by all gateways, want at most %.0f", got, allowed)
	}
	var out decide.Actions
	id := wardturn.UpstreamID("e")
	now := g.clock.Now()
	g.fleet.SetMembers(now, []wardturn.Member{
		{
			ID:   id,
			Addr: "e:1",
		},
	})
	g.fleet.ApplyEngineUpdate(now, id, decide.EngineUpdate{
		Connected: true,
		Gateways:  gateways,
	}, &out)
	connected := perWindow()
	if got := gateways * connected; got > allowed || got < allowed/4 {
		t.Errorf("with keepers: %.0f retries by all gateways, want at most %.0f", got, allowed)
	}
	g.fleet.KeeperLost(id)
	g.fleet.Tick(now.Add(time.Second), &out)
	if got := perWindow(); got > connected {
		t.Errorf("after all keepers are lost: %.2f retries, want at most %.2f as before", got, connected)
	}
}
