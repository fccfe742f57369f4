// Package decide is the decision core of wardturn: which upstream a request
// goes to, which adapters hold the slots of an engine, which request runs next
// and which load the shared weight store is spent on.
//
// The package is pure. Events and the current time come in through method
// calls, orders come out as values, and nothing in it reads a clock, starts a
// goroutine or performs I/O. The daemons, the experiment tool and the model
// checking tests all drive the same code, so what is measured in an experiment
// is what serves traffic.
//
// # Concepts
//
// A slot is a place for one adapter version in an engine. A request pins the
// slot that it runs on; a pinned slot is never unloaded. An adapter with waiting
// requests and no slot is a want. A want becomes a load when it is worth more
// than the least valuable idle slot and when Permits says that the weight
// store can carry another load.
//
// Agent decides for one upstream, Router for one entry host, Allocator shares
// the store between agents, and Ledger remembers how attempts ended.
//
// None of the types are safe for concurrent use; a driver guards each with its
// own lock.
package decide
