// Package keeper is the small daemon beside a model engine of the users'
// platform, as a library. It is the only process that gives the engine orders:
// it loads the adapters that gateways wish for, unloads the ones worth least,
// and tells every connected gateway what the engine holds.
//
// A keeper carries no requests. While it is away the engine goes on serving
// what it holds.
package keeper
