// Package gateway implements the reverse proxy that runs on each entry host of the
// platform. It accepts callers' HTTP requests, matches them to a route, selects an
// upstream with package decide, and forwards the request and the response unchanged.
//
// The gateway connects to upstreams directly. A keeper, the process beside each engine,
// only loads and unloads adapters, so a keeper that crashes, hangs or becomes unreachable
// interrupts no request.
package gateway
