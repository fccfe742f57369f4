// Package standin provides fakes of the systems that wardturn depends on: model
// engines, plain services, the weight store, the platform's log, its host list and
// its metadata store. It also has a TCP proxy that injects network faults.
//
// There is one implementation of each. The clock and the faults are passed in, so
// that the same code runs in virtual time for experiments and tests, and in real time
// behind loopback ports for the demo.
package standin
