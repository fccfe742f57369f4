// Package policy compiles programs of operators into implementations of
// wardturn.Policy, and has the built-in policies.
//
// A program is written in Starlark and defines up to three functions:
//
//	slot(a)   value of keeping adapter a in a slot, or of loading it into one
//	hold(r)   seconds that batch request r may wait to fill a batch
//	order(r)  rank of request r in its queue; the lowest runs first
//
// The functions are pure: they have no clock, no randomness and no I/O, inputs are
// frozen, and the number of steps of a call is limited. If a call fails, exceeds the
// limit, or returns anything but a finite number, the built-in default policy makes
// this one decision and the failure is counted.
//
// The built-in policies are the default, the two programs that are shipped with the
// binary, and the baselines that experiments compare with.
package policy
