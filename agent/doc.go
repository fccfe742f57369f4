// Package agent implements the process that runs next to one upstream.
//
// An Agent is the only process that sends orders to its upstream. It manages the
// adapter slots of an engine, the queue of waiting requests and the running
// requests; package decide makes the decisions. It guarantees the following to the
// entry processes: a request that is reported as not run did not and will not run; a
// response that has started can be fetched again after the connection is lost; and
// the idempotency key of a request that must not be repeated is claimed on the
// platform's log before the request runs.
package agent
