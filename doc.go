// Package wardturn defines the vocabulary of a serving layer that shares one
// base model between very many LoRA adapters.
//
// A request names an adapter, optionally at a version. An entry host admits it,
// resolves the version, and routes it to an upstream: a model engine or a plain
// service. One agent process stands beside each upstream, and only the agent
// gives that upstream orders: which adapters to load into its few slots, which
// requests to run next, which to hold back so that a batch fills.
//
// Every attempt to run a request ends in exactly one Outcome: Done, NotRun or
// Unknown. The rest of the module is built around keeping those three honest
// when hosts vanish, replies are lost and clocks are paused.
//
// The package holds named types and the interfaces behind which behaviour
// varies. Implementations live in the packages below it: decide is the pure
// decision core, entry and agent are the daemons as libraries, control is the
// configuration on the platform's log, driver has the clients of outside
// systems, and standin has small fakes of those systems.
package wardturn
