package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"wardturn"
)

// manualClock is a clock that advances only when a test sets it.
type manualClock struct {
	now time.Time
}

func (c *manualClock) Now() time.Time {
	return c.now
}

func (c *manualClock) AfterFunc(time.Duration, func()) wardturn.Timer {
	return nil
}

// If a sudden rise in a team's usage were announced only at the next interval, the team
// would exceed its cap by what all gateways admit until then.
func TestChargeAsksForMessageWhenTeamJumps(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(1000, 0),
	}
	g := &Gateway{
		clock:   clock,
		metrics: NewMetrics(tally.NoopScope),
		names: wardturn.HeaderNames{
			TokenCount: "Tokens",
		},
	}
	g.caps = newCaps(g)
	team := wardturn.Team{
		ID: "clerks",
		Cap: wardturn.UsageCap{
			Unit:  wardturn.CapTokens,
			Rate:  1000,
			Burst: 4000,
		},
	}
	g.caps.setTeams([]wardturn.Team{team})
	charge := func(tokens string) (requested bool) {
		t.Helper()
		x := &exchange{
			g:    g,
			r:    httptest.NewRequest("POST", "/", nil),
			team: &team,
		}
		x.r.Header.Set("Tokens", tokens)
		if !x.charge() {
			t.Fatalf("%s tokens exceed the cap", tokens)
		}
		select {
		case <-g.caps.urgent:
			return true
		default:
			return false
		}
	}
	clock.now = clock.now.Add(5 * time.Second)
	g.caps.teams.Report(clock.now)
	clock.now = clock.now.Add(capInterval / 2)
	if charge("1,0") {
		t.Error("a single token requests a message")
	}
	if !charge("3000,0") {
		t.Error("using most of the cap at once requests no message")
	}
}
