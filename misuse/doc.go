// Package misuse has tests of callers and peers that don't behave: crowds of connections that
// send all kinds of odd, endless or unfinished messages to real processes of the system. Each
// test checks that the process lives, that its memory and open descriptors stay within those of
// its machine, and that it serves an ordinary request afterwards.
//
// The tests need a quiet machine for their memory bounds, so .ci/tests runs them alone, one at
// a time.
package misuse
