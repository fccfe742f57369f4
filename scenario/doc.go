// Package scenario contains scripted end-to-end tests. Each one starts a system, injects
// faults, sends requests and checks their results.
//
// Each file in testdata is one scenario in the script language of testscript, extended
// by the commands of the test. The scenarios also document the behaviour of wardturn
// under faults.
package scenario
