// Package process contains what all daemons share: the system clock, management of
// goroutines and timers, logging, metrics, socket options and dependency injection.
package process
