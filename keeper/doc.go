// Package keeper implements, as a library, the daemon that runs next to a model engine
// and manages its adapters. A keeper is the only process that gives its engine orders:
// it loads the adapters that gateways request, unloads those with the lowest score, and
// sends the state of the engine to all connected gateways. It also grants the turns in
// which gateways send prompts to the engine.
//
// Requests do not pass through a keeper. While it is not running, the engine continues
// to serve the adapters that it has loaded.
package keeper
