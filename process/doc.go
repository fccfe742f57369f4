// Package process has what every daemon needs of its own process: the system's
// clock, its goroutines and timers, its log and metrics, and how it is put
// together from its parts.
package process
