package chaos

import (
	"math/rand/v2"

	"wardturn"
	"wardturn/demo"
	"wardturn/standin"
)

// Fault is a fault that a history injects into its system and heals later.
type Fault struct {
	Name   string
	inject func(h *history)
	heal   func(h *history)
}

// Faults returns all faults that a history may inject.
func Faults() []Fault {
	noop := func(*history) {}
	return []Fault{
		{
			Name:   "connection cut",
			inject: func(h *history) { h.randomUpstream().FaultProxy.CloseConns() },
			heal:   noop,
		},
		{
			Name:   "agent unreachable",
			inject: func(h *history) { h.randomUpstream().FaultProxy.Block(true) },
			heal:   healNetwork,
		},
		{
			Name:   "network frozen",
			inject: func(h *history) { h.randomUpstream().FaultProxy.Freeze(true) },
			heal:   healNetwork,
		},
		{
			Name:   "agent restarts",
			inject: func(h *history) { h.restartAgent(h.randomUpstream()) },
			heal:   noop,
		},
		{
			Name: "all agents restart",
			inject: func(h *history) {
				for _, u := range h.sys.Upstreams {
					h.restartAgent(u)
				}
			},
			heal: noop,
		},
		{
			Name:   "engine restarts empty",
			inject: func(h *history) { h.randomEngine().Engine.Restart() },
			heal:   noop,
		},
		{
			Name:   "planned stop",
			inject: func(h *history) { h.drainAgent(h.randomUpstream()) },
			heal:   noop,
		},
		{
			Name:   "log out",
			inject: func(h *history) { h.sys.Log.SetFaults(standin.LogFaults{Down: true}) },
			heal:   healLog,
		},
		{
			Name: "log replies lost",
			inject: func(h *history) {
				h.sys.Log.SetFaults(standin.LogFaults{LoseReply: func() bool { return true }})
			},
			heal: healLog,
		},
		{
			Name:   "store out",
			inject: func(h *history) { h.sys.Store.SetFaults(standin.StoreFaults{Down: true}) },
			heal:   healStore,
		},
		{
			Name:   "store slow",
			inject: func(h *history) { h.sys.Store.SetFaults(standin.StoreFaults{Slow: 20}) },
			heal:   healStore,
		},
		{
			Name: "loads fail",
			inject: func(h *history) {
				h.sys.Store.SetFaults(standin.StoreFaults{Fail: func(wardturn.AdapterRef) error { return wardturn.ErrUnavailable }})
			},
			heal: healStore,
		},
		{
			Name:   "host list out",
			inject: func(h *history) { h.sys.Hosts.SetDown(true) },
			heal:   func(h *history) { h.sys.Hosts.SetDown(false) },
		},
	}
}

func healNetwork(h *history) {
	for _, u := range h.sys.Upstreams {
		u.FaultProxy.Block(false)
		u.FaultProxy.Freeze(false)
	}
}

func healLog(h *history) {
	h.sys.Log.SetFaults(standin.LogFaults{})
}

func healStore(h *history) {
	h.sys.Store.SetFaults(standin.StoreFaults{})
}

// randomUpstream returns a random upstream.
func (h *history) randomUpstream() *demo.Upstream {
	return h.sys.Upstreams[h.rng.IntN(len(h.sys.Upstreams))]
}

// randomEngine returns a random model engine.
func (h *history) randomEngine() *demo.Upstream {
	return h.sys.Upstreams[h.rng.IntN(engineCount)]
}

// restartAgent closes an upstream's agent without draining it and starts a new one.
func (h *history) restartAgent(u *demo.Upstream) {
	u.Agent.Close()
	if err := h.sys.StartAgent(u, "127.0.0.1:0"); err != nil {
		h.addViolation("agent of %s does not start: %v", u.ID, err)
	}
}

// drainAgent drains an upstream's agent and starts a new one after its last request.
func (h *history) drainAgent(u *demo.Upstream) {
	old := u.Agent
	select {
	case <-old.Shutdown():
	case <-h.timeout():
		h.addViolation("%s does not end its requests", u.ID)
	}
	h.restartAgent(u)
}

// randomFaultPair returns two different random faults.
func randomFaultPair(rng *rand.Rand) [2]Fault {
	faults := Faults()
	i := rng.IntN(len(faults))
	j := rng.IntN(len(faults) - 1)
	if j >= i {
		j++
	}
	return [2]Fault{faults[i], faults[j]}
}
