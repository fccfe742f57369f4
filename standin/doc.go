// Package standin has small fakes of the systems that wardturn serves: model
// engines, plain services, the weight store, the platform's log and its list of
// hosts.
//
// There is one implementation of each. Clock, random source and faults are
// passed in, so the same code runs in virtual time for experiments and tests,
// and in real time behind loopback ports for the demo.
package standin
