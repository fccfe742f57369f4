package chaos

import (
	"math/rand/v2"

	"wardturn"
	"wardturn/demo"
	"wardturn/standin"
)

// Fault is a fault that a history injects into its system and heals later.
type Fault struct {
	Name  string
	begin func(h *history)
	heal  func(h *history)
}

// Faults returns all faults that a history may inject.
func Faults() []Fault {
	none := func(*history) {}
	return []Fault{
		{
			Name:  "connection cut",
			begin: func(h *history) { h.upstream().Relay.Cut() },
			heal:  none,
		},
		{
			Name:  "agent unreachable",
			begin: func(h *history) { h.upstream().Relay.Block(true) },
			heal:  healNet,
		},
		{
			Name:  "network frozen",
			begin: func(h *history) { h.upstream().Relay.Freeze(true) },
			heal:  healNet,
		},
		{
			Name:  "agent restarts",
			begin: func(h *history) { h.restartAgent(h.upstream()) },
			heal:  none,
		},
		{
			Name: "all agents restart",
			begin: func(h *history) {
				for _, u := range h.sys.Upstreams {
					h.restartAgent(u)
				}
			},
			heal: none,
		},
		{
			Name:  "engine restarts empty",
			begin: func(h *history) { h.engine().Engine.Restart() },
			heal:  none,
		},
		{
			Name:  "planned stop",
			begin: func(h *history) { h.leave(h.upstream()) },
			heal:  none,
		},
		{
			Name:  "log out",
			begin: func(h *history) { h.sys.Log.SetFaults(standin.LogFaults{Down: true}) },
			heal:  healLog,
		},
		{
			Name: "log replies lost",
			begin: func(h *history) {
				h.sys.Log.SetFaults(standin.LogFaults{LoseReply: func() bool { return true }})
			},
			heal: healLog,
		},
		{
			Name:  "store out",
			begin: func(h *history) { h.sys.Store.SetFaults(standin.StoreFaults{Down: true}) },
			heal:  healStore,
		},
		{
			Name:  "store slow",
			begin: func(h *history) { h.sys.Store.SetFaults(standin.StoreFaults{Slow: 20}) },
			heal:  healStore,
		},
		{
			Name: "loads fail",
			begin: func(h *history) {
				h.sys.Store.SetFaults(standin.StoreFaults{Fail: func(wardturn.AdapterRef) error { return wardturn.ErrUnavailable }})
			},
			heal: healStore,
		},
		{
			Name:  "host list out",
			begin: func(h *history) { h.sys.Hosts.SetDown(true) },
			heal:  func(h *history) { h.sys.Hosts.SetDown(false) },
		},
	}
}

func healNet(h *history) {
	for _, u := range h.sys.Upstreams {
		u.Relay.Block(false)
		u.Relay.Freeze(false)
	}
}

func healLog(h *history) {
	h.sys.Log.SetFaults(standin.LogFaults{})
}

func healStore(h *history) {
	h.sys.Store.SetFaults(standin.StoreFaults{})
}

// upstream returns a random upstream.
func (h *history) upstream() *demo.Upstream {
	return h.sys.Upstreams[h.rng.IntN(len(h.sys.Upstreams))]
}

// engine returns a random model engine.
func (h *history) engine() *demo.Upstream {
	return h.sys.Upstreams[h.rng.IntN(engines)]
}

// restartAgent closes an upstream's agent without draining it and starts a new one.
func (h *history) restartAgent(u *demo.Upstream) {
	u.Agent.Close()
	if err := h.sys.StartAgent(u, "127.0.0.1:0"); err != nil {
		h.fail("agent of %s does not start: %v", u.ID, err)
	}
}

// leave drains an upstream's agent and starts a new one after its last request.
func (h *history) leave(u *demo.Upstream) {
	old := u.Agent
	select {
	case <-old.Leave():
	case <-h.patience():
		h.fail("%s does not end its requests", u.ID)
	}
	h.restartAgent(u)
}

// drawPair returns two different random faults.
func drawPair(rng *rand.Rand) [2]Fault {
	all := Faults()
	i := rng.IntN(len(all))
	j := rng.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	return [2]Fault{all[i], all[j]}
}
