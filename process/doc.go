// Package process has what every daemon needs of its own process: the system's
// clock, its goroutines and timers, and its metrics.
package process
