// Package soak tests the daemons of the users' platform, gateways and keepers, as
// separate processes on one machine. It sends them traffic and injects random faults
// from outside: loopback proxies delay, reset, refuse or hold back the traffic of links;
// processes are paused, killed, stopped and started; the store and the upstreams
// misbehave; configurations and adapter versions change in quick succession.
//
// Checkers compare the responses to callers with the requests that reached the
// upstreams and ran there. The seed determines the faults and the traffic, but not how
// the processes interleave; the guarantees must hold in every run.
package soak
