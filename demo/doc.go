// Package demo runs a whole system in one process: stand-ins of the platform, an
// agent for each upstream, and entry hosts, all on loopback ports that the kernel
// chooses. The parts use the same connections and protocols as in separate
// processes.
package demo
