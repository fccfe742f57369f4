// Package agent is the process that stands beside one upstream, as a library.
//
// An Agent is the only process that gives its upstream orders. It owns the
// adapter slots of an engine, the queue of waiting requests and the running
// ones; the decisions are those of package decide. Towards entry hosts it keeps
// three promises: a request answered "not run" did not and will not run; an
// answer that was started can be fetched again after a lost connection; and a
// request that may not be repeated is claimed on the platform's log before it
// runs.
package agent
