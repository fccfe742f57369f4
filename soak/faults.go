package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"wardturn/standin"
)

// fault is one trouble: begin starts it, and what begin returns ends it.
type fault struct {
	name    string
	target  string
	planned bool // planned work, around which nothing may be cut
	last    time.Duration
	begin   func() (undo func())
}

type storeLink = *standin.Relay

func (s *soak) storeLink() (storeLink, error) {
	return standin.NewRelay(s.world.storeAddr)
}

// draw picks a fault.
func (s *soak) draw(r *rand.Rand) fault {
	var f fault
	switch r.IntN(5) {
	case 0:
		f = s.processFault(r)
	case 1:
		f = s.linkFault(r)
	case 2:
		f = s.storeFault(r)
	case 3:
		f = s.upstreamFault(r)
	default:
		f = s.plannedWork(r)
	}
	if f.last == 0 {
		f.last = time.Duration(100+r.IntN(1900)) * time.Millisecond
	}
	return f
}

func (s *soak) daemons() []*daemon {
	var all []*daemon
	for _, g := range s.gateways {
		all = append(all, g.daemon)
	}
	for _, k := range s.keepers {
		all = append(all, k.daemon)
	}
	return all
}

func pick[T any](r *rand.Rand, list []T) T {
	return list[r.IntN(len(list))]
}

func (s *soak) processFault(r *rand.Rand) fault {
	d := pick(r, s.daemons())
	if r.IntN(2) == 0 {
		return fault{
			name:   "kill",
			target: d.name,
			begin: func() func() {
				d.signal(syscall.SIGKILL)
				return nil
			},
		}
	}
	return fault{
		name:   "pause",
		target: d.name,
		begin: func() func() {
			from := time.Now()
			d.signal(syscall.SIGSTOP)
			return func() {
				d.signal(syscall.SIGCONT)
				s.answers.excuse(from, time.Now())
			}
		},
	}
}

// links returns every link between two processes.
func (s *soak) links() []*standin.Relay {
	var list []*standin.Relay
	for _, u := range s.world.upstreams {
		list = append(list, u.link)
		if u.keeper != nil {
			list = append(list, u.keeper)
		}
	}
	for _, g := range s.gateways {
		list = append(list, g.store)
	}
	for _, k := range s.keepers {
		list = append(list, k.store)
	}
	return list
}

func (s *soak) linkFault(r *rand.Rand) fault {
	l := pick(r, s.links())
	way := standin.Direction(r.IntN(2))
	delay := time.Duration(r.IntN(300)) * time.Millisecond
	list := []fault{
		{
			name: "silence both ways",
			begin: func() func() {
				l.Freeze(true)
				return func() { l.Freeze(false) }
			},
		},
		{
			name: "silence one way",
			begin: func() func() {
				l.Silence(way, true)
				return func() { l.Silence(way, false) }
			},
		},
		{
			name: "delay",
			begin: func() func() {
				l.Delay(delay)
				return func() { l.Delay(0) }
			},
		},
		{
			name: "reset",
			begin: func() func() {
				l.Reset()
				return nil
			},
		},
		{
			name: "refuse",
			begin: func() func() {
				l.Block(true)
				return func() { l.Block(false) }
			},
		},
	}
	f := pick(r, list)
	f.target = l.Addr()
	f.begin = excusing(s.world.upstreamOf(l), f.begin)
	return f
}

func (s *soak) storeFault(r *rand.Rand) fault {
	list := map[string]standin.MetaFaults{
		"store away": {
			Away: true,
		},
		"store silent": {
			Silent: true,
		},
		"store loses answers": {
			Lost: true,
		},
		"store slow": {
			Delay: 300 * time.Millisecond,
		},
	}
	names := []string{"store away", "store silent", "store loses answers", "store slow", "store comes back"}
	name := pick(r, names)
	if name == "store comes back" {
		return s.storeReturn()
	}
	return fault{
		name:   name,
		target: "store",
		begin: func() func() {
			s.world.store.SetFaults(list[name])
			return func() { s.world.store.SetFaults(standin.MetaFaults{}) }
		},
	}
}

func (s *soak) upstreamFault(r *rand.Rand) fault {
	u := pick(r, s.world.upstreams)
	list := []standin.WorkerFaults{
		{
			LoseOrders: true,
		},
		{
			LateOrders: true,
		},
		{
			LoseAnswers: true,
		},
		{
			Stranger: true,
		},
		{
			CutAfter: 2,
		},
		{
			Full: true,
		},
		{
			Error: true,
		},
	}
	i := r.IntN(len(list) + 3)
	switch {
	case i == len(list)+2:
		return askingRest(u)
	case i == len(list)+1:
		return s.sayingLeaves(u)
	case i == len(list):
		return fault{
			name:   "upstream restarts empty",
			target: u.addr,
			begin: func() func() {
				s.world.restart(u)
				u.link.Reset()
				started := time.Now()
				s.wg.Go(func() {
					if s.pause(coldFor) {
						s.checkCold(u, started)
					}
				})
				return nil
			},
		}
	}
	return fault{
		name:   fmt.Sprintf("upstream misbehaves %+v", list[i]),
		target: u.addr,
		begin: func() func() {
			u.behave(list[i])
			return func() { u.behave(standin.WorkerFaults{}) }
		},
	}
}

// plannedWork is a stop of a daemon, a new configuration, a new version of an
// adapter, the evacuation of a failure domain, or an upstream that leaves and comes back.
func (s *soak) plannedWork(r *rand.Rand) fault {
	f := fault{
		planned: true,
	}
	switch r.IntN(5) {
	case 0:
		d := pick(r, s.daemons())
		f.name, f.target = "stop", d.name
		f.begin = func() func() {
			d.signal(syscall.SIGTERM)
			return nil
		}
	case 1:
		f.name, f.target = "configuration", "store"
		f.begin = func() func() {
			s.mu.Lock()
			s.world.configure()
			s.mu.Unlock()
			s.world.store.CompactConfig()
			return nil
		}
	case 2:
		adapter := fmt.Sprintf("a%d", r.IntN(adapterSpread))
		version := time.Now().UnixNano()
		f.name, f.target = "version", adapter
		f.begin = func() func() {
			s.nameVersion(adapter, version)
			return nil
		}
	case 3:
		return s.evacuation(r)
	default:
		u := pick(r, s.world.upstreams)
		f.name, f.target = "upstream leaves", u.addr
		f.begin = func() func() {
			u.setState("draining")
			s.world.enter(u)
			return func() {
				u.setState("ready")
				s.world.enter(u)
			}
		}
	}
	return f
}

// heal ends every trouble.
func (s *soak) heal() {
	s.world.store.SetFaults(standin.MetaFaults{})
	for _, l := range s.links() {
		l.Freeze(false)
		l.Delay(0)
		l.Block(false)
	}
	for _, u := range s.world.upstreams {
		u.behave(standin.WorkerFaults{})
		u.setState("ready")
		s.world.enter(u)
	}
	for _, d := range s.daemons() {
		d.signal(syscall.SIGCONT)
	}
}
