package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"wardturn/standin"
)

// fault is a fault or planned work: begin starts it, and the function that begin returns,
// if any, ends it.
type fault struct {
	name     string
	target   string
	planned  bool // planned work, which must not interrupt requests
	duration time.Duration
	lock     sync.Locker // held for the whole fault; nil: none
	begin    func() (undo func())
}

type storeLink = *standin.FaultProxy

func (s *soak) newStoreLink() (storeLink, error) {
	return standin.NewFaultProxy(s.world.storeAddr)
}

// fleetFaults is the number of faults of many processes among 25 others.
const fleetFaults = 3

// randomFault returns a random fault.
func (s *soak) randomFault(r *rand.Rand) fault {
	var f fault
	n := r.IntN(fleetFaults + 25)
	switch {
	case n < fleetFaults:
		f = s.randomFleetFault(r)
	case n%5 == 0:
		f = s.randomProcessFault(r)
	case n%5 == 1:
		f = s.randomLinkFault(r)
	case n%5 == 2:
		f = s.randomStoreFault(r)
	case n%5 == 3:
		f = s.randomUpstreamFault(r)
	default:
		f = s.randomPlannedWork(r)
	}
	if n >= fleetFaults && n%5 <= 2 {
		f.lock = s.calm.RLocker()
	}
	if f.duration == 0 {
		f.duration = time.Duration(100+r.IntN(1900)) * time.Millisecond
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

func randomElement[T any](r *rand.Rand, list []T) T {
	return list[r.IntN(len(list))]
}

func (s *soak) randomProcessFault(r *rand.Rand) fault {
	d := randomElement(r, s.daemons())
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
				s.responses.addExcused(from, time.Now())
			}
		},
	}
}

// links returns the links between processes.
func (s *soak) links() []*standin.FaultProxy {
	var list []*standin.FaultProxy
	for _, u := range s.world.upstreams {
		list = append(list, u.proxy)
		if u.keeperProxy != nil {
			list = append(list, u.keeperProxy)
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

func (s *soak) randomLinkFault(r *rand.Rand) fault {
	link := randomElement(r, s.links())
	direction := standin.Direction(r.IntN(2))
	delay := time.Duration(r.IntN(300)) * time.Millisecond
	list := []fault{
		{
			name: "silence both ways",
			begin: func() func() {
				link.Freeze(true)
				return func() { link.Freeze(false) }
			},
		},
		{
			name: "silence one way",
			begin: func() func() {
				link.FreezeDirection(direction, true)
				return func() { link.FreezeDirection(direction, false) }
			},
		},
		{
			name: "delay",
			begin: func() func() {
				link.Delay(delay)
				return func() { link.Delay(0) }
			},
		},
		{
			name: "reset",
			begin: func() func() {
				link.ResetConns()
				return nil
			},
		},
		{
			name: "refuse",
			begin: func() func() {
				link.Block(true)
				return func() { link.Block(false) }
			},
		},
	}
	i := r.IntN(len(list) + 2)
	if i >= len(list) {
		return s.silentConnsFault(link, i > len(list))
	}
	f := list[i]
	f.target = link.Addr()
	f.begin = excuseDuring(s.world.upstreamOf(link), f.begin)
	return f
}

// silentConnsDuration is how long processes have to replace connections that have gone silent.
const silentConnsDuration = 3 * time.Second

// silentConnsFault makes the open connections of a link, or of all links, silent for good. New
// connections work.
func (s *soak) silentConnsFault(link *standin.FaultProxy, all bool) fault {
	f := fault{
		name:     "open connections go silent",
		target:   link.Addr(),
		duration: silentConnsDuration,
	}
	links := []*standin.FaultProxy{link}
	if all {
		f.target = "all links"
		links = s.links()
	}
	f.begin = func() func() {
		from := time.Now()
		for _, l := range links {
			l.SilenceConns()
		}
		return func() {
			for _, l := range links {
				if u := s.world.upstreamOf(l); u != nil {
					u.addExcused(from, time.Now())
				}
			}
		}
	}
	return f
}

func (s *soak) randomStoreFault(r *rand.Rand) fault {
	list := map[string]standin.MetaFaults{
		"store away": {
			Unavailable: true,
		},
		"store silent": {
			NoResponse: true,
		},
		"store loses answers": {
			LoseResponses: true,
		},
		"store slow": {
			Delay: 300 * time.Millisecond,
		},
	}
	names := []string{"store away", "store silent", "store loses answers", "store slow", "store comes back"}
	name := randomElement(r, names)
	if name == "store comes back" {
		return s.storeRestoreFault()
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

func (s *soak) randomUpstreamFault(r *rand.Rand) fault {
	u := randomElement(r, s.world.upstreams)
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
			CutAfter: 2,
			Unframed: true,
		},
		{
			CutAfter:  2,
			CutFramed: standin.FramedByChunks,
		},
		{
			Unframed: true,
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
		return backoffFault(u)
	case i == len(list)+1:
		return s.leavingFault(u)
	case i == len(list):
		return fault{
			name:   "upstream restarts empty",
			target: u.addr,
			begin: func() func() {
				s.world.restart(u)
				u.proxy.ResetConns()
				started := time.Now()
				s.wg.Go(func() {
					if s.sleep(coldDuration) {
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
			u.setFaults(list[i])
			return func() { u.setFaults(standin.WorkerFaults{}) }
		},
	}
}

// randomPlannedWork returns planned work: a stop of a daemon, a new configuration, a new
// version of an adapter, the evacuation of a failure domain, or an upstream that drains
// and becomes ready again.
func (s *soak) randomPlannedWork(r *rand.Rand) fault {
	f := fault{
		planned: true,
	}
	switch r.IntN(5) {
	case 0:
		d := randomElement(r, s.daemons())
		f.name, f.target = "stop", d.name
		f.begin = func() func() {
			d.signal(syscall.SIGTERM)
			return nil
		}
	case 1:
		f.name, f.target = "configuration", "store"
		f.begin = func() func() {
			s.mu.Lock()
			s.world.publishConfig()
			s.mu.Unlock()
			s.world.store.CompactConfig()
			return nil
		}
	case 2:
		adapter := fmt.Sprintf("a%d", r.IntN(adapterMean))
		version := time.Now().UnixNano()
		f.name, f.target = "version", adapter
		f.begin = func() func() {
			s.announceVersion(adapter, version)
			return nil
		}
	case 3:
		return s.evacuationFault(r)
	default:
		u := randomElement(r, s.world.upstreams)
		f.name, f.target = "upstream leaves", u.addr
		f.begin = func() func() {
			u.setState("draining")
			s.world.writeEntry(u)
			return func() {
				u.setState("ready")
				s.world.writeEntry(u)
			}
		}
	}
	return f
}

// heal ends all faults.
func (s *soak) heal() {
	s.world.store.SetFaults(standin.MetaFaults{})
	for _, l := range s.links() {
		l.Freeze(false)
		l.Delay(0)
		l.Block(false)
	}
	for _, u := range s.world.upstreams {
		u.setFaults(standin.WorkerFaults{})
		u.setState("ready")
		s.world.writeEntry(u)
	}
	for _, d := range s.daemons() {
		d.signal(syscall.SIGCONT)
	}
}
