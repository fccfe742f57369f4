package agent

import (
	"context"
	"testing"
	"time"

	"wardturn"
	"wardturn/standin"
)

// emptyService returns empty responses.
type emptyService struct{}

func (emptyService) Call(context.Context, wardturn.Request) (wardturn.ServiceResponse, error) {
	return wardturn.ServiceResponse{}, nil
}

// TestStaleLeavingEntry guards against an agent that shuts down right after its
// start because the host list, which lags, still contains the leaving entry of the
// previous process for the same upstream. The logs showed "leaving" with the reason
// "host list" directly after "agent started", and the upstream served nothing any more.
func TestStaleLeavingEntry(t *testing.T) {
	entry := func(state wardturn.HostState) []wardturn.Host {
		return []wardturn.Host{{
			Upstream: "u",
			State:    state,
		}}
	}
	clock := standin.NewClock()
	start := func(t *testing.T) *Agent {
		return newPlainAgent(t, clock, standin.NewLog(clock, standin.LogConfig{}), emptyService{})
	}
	t.Run("is ignored", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLeaving))
		if a.Status().Leaving {
			t.Error("the agent is leaving because of an entry from before its start")
		}
	})
	t.Run("is ignored after a live entry", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLive))
		a.onHosts(entry(wardturn.HostLeaving))
		if a.Status().Leaving {
			t.Error("the agent is leaving because of an entry from before its start")
		}
	})
	t.Run("does not hide a leaving entry of this process", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLeaving))
		a.onHosts(entry(wardturn.HostLive))
		a.onHosts(entry(wardturn.HostLeaving))
		if !a.Status().Leaving {
			t.Error("the agent is not leaving, although the list showed it as live and then as leaving")
		}
	})
	t.Run("counts if it stays longer than the list lags", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLeaving))
		clock.Advance(30 * time.Second)
		a.onHosts(entry(wardturn.HostLeaving))
		if !a.Status().Leaving {
			t.Error("the agent is not leaving, although the list has shown it as leaving for 30 s")
		}
	})
}
