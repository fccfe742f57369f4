// Package experiment compares policies by simulation on the same traffic.
//
// A trace is a list of requests in order of their arrival, as JSON lines. It can be
// generated from the profile of a deployment or come from another source. Compare runs
// the trace in virtual time through package decide, the decision code that the daemons
// run, against fakes of the engines and of the weight store. Network and hosts are not
// simulated; messages between components have a fixed delay. The same inputs give the
// same bytes.
package experiment
