// Package entry implements the server that runs on an entry host: the HTTP API for
// callers and operators, admission control, routing and retries.
//
// For each request, an Entry resolves the adapter version, selects an upstream and sends
// an attempt to the upstream's agent; at most one attempt is active at a time. If the
// connection to the agent is lost, the outcome is still open: after reconnecting, the
// entry resumes the attempt. A request that did not run may be retried on another
// upstream within a retry budget. A request with an unknown outcome is retried only if
// it is repeatable and no byte of the response has been forwarded to the caller.
package entry
