package agent

import (
	"context"
	"testing"
	"time"

	"wardturn"
	"wardturn/standin"
)

// plainService answers nothing.
type plainService struct{}

func (plainService) Call(context.Context, wardturn.Request) (wardturn.ServiceResponse, error) {
	return wardturn.ServiceResponse{}, nil
}

// An agent left for good at once when the platform's list, which lags, still had the entry
// of the process before it under the same name, which had left: "leaving" with the reason
// "host list" right after "agent started", and its upstream served no more.
func TestLeavingEntryOfAPredecessor(t *testing.T) {
	entry := func(state wardturn.HostState) []wardturn.Host {
		return []wardturn.Host{{
			Upstream: "u",
			State:    state,
		}}
	}
	clock := standin.NewClock()
	start := func(t *testing.T) *Agent {
		return newPlainAgent(t, clock, standin.NewLog(clock, standin.LogConfig{}), plainService{})
	}
	t.Run("is passed over", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLeaving))
		if a.Status().Leaving {
			t.Error("the agent leaves by an entry of before its start")
		}
	})
	t.Run("is passed over after one that still had it live", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLive))
		a.onHosts(entry(wardturn.HostLeaving))
		if a.Status().Leaving {
			t.Error("the agent leaves by an entry of before its start")
		}
	})
	t.Run("does not hide that this one is to leave", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLeaving))
		a.onHosts(entry(wardturn.HostLive))
		a.onHosts(entry(wardturn.HostLeaving))
		if !a.Status().Leaving {
			t.Error("the agent stays, though the list had it live and then leaving")
		}
	})
	t.Run("counts if it stays longer than a list is behind", func(t *testing.T) {
		a := start(t)
		a.onHosts(entry(wardturn.HostLeaving))
		clock.Advance(30 * time.Second)
		a.onHosts(entry(wardturn.HostLeaving))
		if !a.Status().Leaving {
			t.Error("the agent stays, though the list has had it leaving for 30 s")
		}
	})
}
