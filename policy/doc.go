// Package policy turns an operator's short program into a wardturn.Policy.
//
// A program is written in Starlark and defines up to three functions:
//
//	slot(a)   the value of keeping, or bringing, adapter a in a slot
//	hold(r)   seconds that batch request r may wait to fill a batch
//	order(r)  rank of request r in its queue; lower runs first
//
// The functions are pure: there is no clock, no randomness and no I/O, inputs
// are frozen, and each call may take a bounded number of steps. A call that
// fails, overruns or returns something that is not a finite number falls back
// to the built-in policy for that one decision, and is counted.
//
// The package also holds the built-in policies: the default, the two shipped
// programs, and the baselines that experiments compare with.
package policy
