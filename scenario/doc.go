// Package scenario holds scripted scenarios: a system is started, faults happen,
// callers call, and what became of their requests is checked.
//
// Each file below testdata is one scenario in the script language of testscript
// with the commands that its test adds. They can be read as documentation of
// what wardturn does when things fail.
package scenario
