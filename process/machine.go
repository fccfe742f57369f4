package process

import (
	"runtime/debug"
	"syscall"
)

// Machine is what the host gives to one process.
type Machine struct {
	Memory      int64 // in bytes
	Descriptors int   // open at once
}

const (
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// connectionShare is the share of the other descriptors that connections of callers or
	// peers may take. Each request needs another one for its upstream, and the rest is for the
	// store, for connections to other daemons, for probes, and for sockets that are being closed.
	connectionShare = 0.4
	// memoryShare is the share of the memory that idle connections may take.
	memoryShare = 0.25
	// connectionMemory is the memory of a connection in bytes: its goroutine, its buffers, and
	// what is read of a request or a message without a budget.
	connectionMemory = 32 << 10
	// budgetDivisor is the divisor of the memory that gives each budget: for bodies, for heads and
	// for messages. What budgets hold counts twice, since the garbage collector lets the heap grow
	// before it collects.
	budgetDivisor = 8
	// memoryLimitShare is the share of the memory from which on the garbage collector works harder.
	// The rest is for the program itself, whose pages count as memory too.
	memoryLimitShare = 0.6
)

// minDescriptors is the least number of descriptors with which a process serves.
const minDescriptors = 256

// NewMachine returns the machine of this process with the given memory in MB. If descriptors is
// zero, or more than the system allows, the system's limit holds.
func NewMachine(memoryMB int64, descriptors int) Machine {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur > 0 && limit.Cur < 1<<30 {
		if n := int(limit.Cur); descriptors == 0 || n < descriptors {
			descriptors = n
		}
	}
	return Machine{
		Memory:      memoryMB << 20,
		Descriptors: descriptors,
	}
}

// MaxConnections returns how many connections the process accepts at once, or zero, no limit, if
// neither memory nor descriptors are limited.
func (m Machine) MaxConnections() int {
	byMemory := int(float64(m.Memory) * memoryShare / connectionMemory)
	if m.Descriptors == 0 {
		return byMemory
	}
	byDescriptors := max(1, int(float64(max(m.Descriptors, minDescriptors)-fileDescriptors)*connectionShare))
	if m.Memory == 0 {
		return byDescriptors
	}
	return min(byMemory, byDescriptors)
}

// Budget returns the bytes of one budget.
func (m Machine) Budget() int64 {
	return m.Memory / budgetDivisor
}

// LimitMemory makes the garbage collector keep the process within the memory.
func (m Machine) LimitMemory() {
	if m.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(m.Memory) * memoryLimitShare))
	}
}
