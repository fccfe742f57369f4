// Package experiment compares policies on the same traffic.
//
// A trace is a list of requests in order of time, as JSON lines. It can be
// generated with a user's sizes or taken from elsewhere. Compare runs it in
// virtual time through the decision code of package decide, the code that the
// daemons run, against fakes of the engines and of the weight store. There is
// no network and no host; messages between the parts take a fixed time. The
// same inputs give the same bytes.
package experiment
