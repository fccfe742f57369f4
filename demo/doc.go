// Package demo runs a whole system in one process: stand-ins of the platform, an
// agent beside each upstream, and entry hosts, all on loopback ports that the
// kernel chooses. The processes talk over the same connections, and the same
// protocols, as they do apart.
package demo
