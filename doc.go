// Package wardturn defines the common types of a serving layer that shares one
// base model between a very large number of LoRA adapters.
//
// A request names an adapter, optionally at a version. An entry host admits it,
// resolves the version, and routes it to an upstream: a model engine or a plain
// service. One agent process runs next to each upstream, and only the agent
// controls it: which adapters to load into its few slots, which requests to run
// next, which to delay so that a batch fills.
//
// Every attempt to run a request ends in exactly one Outcome: Done, NotRun or
// Unknown. The other packages ensure that this outcome is correct also when
// hosts fail, replies are lost and clocks are paused.
//
// This package declares types and interfaces. Implementations are in the packages
// below it: decide has the decisions, without I/O; entry and agent are the daemons
// as libraries; control keeps the configuration in the platform's log; driver has
// the clients of external systems; and standin has small fakes of those systems.
package wardturn
