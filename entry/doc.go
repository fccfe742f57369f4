// Package entry is the process on an entry host, as a library: the API for
// callers and operators, admission, routing and retries.
//
// An Entry takes a request over HTTP, resolves its adapter version, chooses an
// upstream and follows one attempt there at a time. A lost connection to an
// agent decides nothing: the entry asks again for the attempt. "Not run" may be
// tried elsewhere under a retry budget; an unknown outcome only if the request
// may be repeated and no byte of an answer has reached the caller.
package entry
