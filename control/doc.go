// Package control implements the replicated configuration and the at-most-once
// claims of requests. Both are stored on the platform's append-only log.
//
// The order of the log resolves all races. Each process reads the log and applies
// its records to a State, a deterministic state machine: all processes that apply
// the same records have the same state. A publication is a compare-and-set: it
// names the version that it replaces, and is accepted only if that version is
// still the current one at the record's position in the log. The version of a
// document is the offset of the record that published it.
//
// The log retains records for a limited time, so documents are appended again as
// snapshots before their records are dropped, with their original versions. A
// process never replaces a document by an older one. A process that starts while
// the log is unavailable asks peers in several failure domains for their
// configuration and uses the newest.
//
// A request that may not be repeated is claimed on the log before it runs. The
// first claim of an idempotency key wins; later claims of the key return the
// first one.
package control
