// Package chaos runs random histories against whole systems and holds them
// against the promises: a small system on stand-ins serves traffic while a pair
// of faults, drawn at random, happens to it; then the faults are healed and what
// every caller was told is compared with what the upstreams really ran.
//
// A history is drawn from its seed. The connections are real, so the exact
// interleaving differs from run to run; the promises must hold in every one.
package chaos
