package process

import (
	"fmt"

	"wardturn"
)

// LimitSettings has the settings of a daemon, which are also its flags, on what connections may make
// it hold.
type LimitSettings struct {
	MemoryMB       int64 `default:"256" help:"Memory of the process, in MB. An eighth of it is for bodies of requests, one for heads and one for messages of other daemons; a quarter bounds connections."`
	MaxDescriptors int   `default:"0" help:"Descriptors that the process may have open; 0: as many as the system allows."`
	MaxConnections int   `default:"0" help:"Connections that callers, or other daemons, may have open at once; 0: as many as memory and descriptors allow."`
	MaxProbes      int   `default:"32" help:"Connections of readiness probes, and of clients of /metrics, at once."`
}

// minMemoryMB is the least memory of a daemon.
const minMemoryMB = 64

// Problems returns the invalid settings.
func (l *LimitSettings) Problems() wardturn.SettingProblems {
	var list wardturn.SettingProblems
	list.Require(l.MemoryMB >= minMemoryMB, "memory-mb", fmt.Sprintf("must be at least %d", minMemoryMB))
	list.Require(l.MaxDescriptors == 0 || l.MaxDescriptors >= minDescriptors, "max-descriptors", fmt.Sprintf("must be 0 or at least %d", minDescriptors))
	list.Require(l.MaxConnections >= 0, "max-connections", "must not be negative")
	list.Require(l.MaxProbes >= 1, "max-probes", "must be at least 1")
	return list
}

// Machine returns the machine of this process.
func (l *LimitSettings) Machine() Machine {
	return NewMachine(l.MemoryMB, l.MaxDescriptors)
}

// Connections returns the limit on connections of callers or other daemons.
func (l *LimitSettings) Connections() int {
	if l.MaxConnections > 0 {
		return l.MaxConnections
	}
	return l.Machine().MaxConnections()
}
