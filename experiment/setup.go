package experiment

import (
	"time"

	"wardturn/decide"
	"wardturn/standin"
)

// StoreShare names a way to share the weight store's rate between agents.
type StoreShare string

// The ways of sharing.
const (
	ShareStatic    StoreShare = "static"
	ShareAdaptive  StoreShare = "adaptive"
	ShareAllocator StoreShare = "allocator"
	// ShareTwoAllocators has half of the agents follow another allocator, as
	// happens while views of the hosts differ.
	ShareTwoAllocators StoreShare = "two-allocators"
)

// Setup is the system that a trace runs through.
type Setup struct {
	Upstreams     int
	Slots         int
	Entries       int
	Batch         int
	StoreRate     float64
	StoreParallel int
	LoadTime      time.Duration
	Hop           time.Duration // of a message between two hosts
	Share         StoreShare
	Faults        []Fault
	NoBatch       bool // leave the trace's batch requests out
	Engine        standin.EngineConfig
	Router        decide.RouterConfig
	Agent         decide.AgentConfig
}

// FaultKind names what goes wrong during an experiment.
type FaultKind string

// The faults.
const (
	FaultStoreDown FaultKind = "store-down"
	FaultStoreSlow FaultKind = "store-slow"
	FaultLoadFail  FaultKind = "load-fail"
	FaultRestart   FaultKind = "engine-restart"
)

// Fault happens at a time and, but for a restart, ends after another.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Factor is how much slower a slow store is, the part of loads that fail,
	// or the part of the engines that restart.
	Factor float64
}

// DefaultSetup returns Zurich's system of today.
func DefaultSetup() Setup {
	return Setup{
		Upstreams:     18,
		Slots:         8,
		Entries:       3,
		StoreRate:     9,
		StoreParallel: 4,
		LoadTime:      400 * time.Millisecond,
		Hop:           500 * time.Microsecond,
		Share:         ShareAllocator,
		Engine:        standin.DefaultEngine(),
	}
}
