// Package chaos tests a whole system under random faults. A history is one such
// test: a small system on stand-ins serves traffic while two faults, chosen at
// random, are injected. Then the faults are healed, and the outcomes that the callers
// received are compared with what the upstreams ran.
//
// The seed determines the faults and the traffic. The connections are real, so the
// interleaving differs between runs of one seed; the guarantees must hold in all.
package chaos
