// Package gateway is the daemon on an entry host of the users' platform, as a
// library. It takes callers' HTTP requests as they are, finds the route, chooses
// an upstream by package decide, and passes request and answer through
// unchanged.
//
// The gateway sends to upstreams itself; the keepers beside the engines only
// hold adapters for it. A keeper that dies, freezes or is cut off therefore cuts
// no request.
package gateway
