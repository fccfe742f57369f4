package experiment

import (
	"time"

	"wardturn/decide"
	"wardturn/standin"
)

// StoreShare is a method of sharing the rate limit of the weight store among agents.
type StoreShare string

// The methods of sharing.
const (
	ShareStatic    StoreShare = "static"
	ShareAdaptive  StoreShare = "adaptive"
	ShareAllocator StoreShare = "allocator"
	// ShareTwoAllocators lets half of the agents use a second allocator, as happens while
	// the agents' copies of the host list differ.
	ShareTwoAllocators StoreShare = "two-allocators"
)

// Setup configures the simulated system.
type Setup struct {
	Upstreams     int
	Slots         int
	Entries       int
	Batch         int
	StoreRate     float64
	StoreParallel int
	LoadTime      time.Duration
	NetworkDelay  time.Duration // delay of a message between two hosts
	Share         StoreShare
	Faults        []Fault
	OmitBatch     bool // omit batch requests
	Engine        standin.EngineConfig
	Router        decide.RouterConfig
	Agent         decide.AgentConfig
}

// FaultKind is the kind of a fault that is injected.
type FaultKind string

// The kinds of faults.
const (
	FaultStoreDown FaultKind = "store-down"
	FaultStoreSlow FaultKind = "store-slow"
	FaultLoadFail  FaultKind = "load-fail"
	FaultRestart   FaultKind = "engine-restart"
)

// Fault is a fault that starts at a time and lasts for another. A restart has no end.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	// Factor is the slowdown of a slow store, the fraction of loads that fail, or the
	// fraction of engines that restart.
	Factor float64
}

// DefaultSetup returns a system of the size of the present deployment in Zurich.
func DefaultSetup() Setup {
	return Setup{
		Upstreams:     18,
		Slots:         8,
		Entries:       3,
		StoreRate:     9,
		StoreParallel: 4,
		LoadTime:      400 * time.Millisecond,
		NetworkDelay:  500 * time.Microsecond,
		Share:         ShareAllocator,
		Engine:        standin.DefaultEngine(),
	}
}
