// Package soak runs the daemons of the users' platform as separate processes on
// one machine, sends them traffic, and hurts them from outside at random: links
// that are delayed, reset, cut one way or silenced by loopback relays; processes
// that are paused, killed, stopped and started; a store and upstreams that
// misbehave; configurations and versions in quick succession.
//
// While it runs it holds what callers were told against what the upstreams ran.
// A soak is drawn from its seed, but real processes interleave as they like: the
// promises must hold in every run.
package soak
