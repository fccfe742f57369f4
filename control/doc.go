// Package control keeps what operators publish, and what must happen at most
// once, on the platform's log.
//
// The log's order settles every race. Each process reads the log and folds its
// records into a State; all processes fold the same records to the same state,
// whatever else fails. A publication is a compare-and-set: it names the version
// that it replaces, and a reader accepts it only if that version is still in
// force at the record's place in the log. The version of a document is the
// offset of the record that was accepted.
//
// The log keeps records for a limited time, so documents are appended again as
// snapshots before it ends, with their original versions. A process never takes
// a document older than the one it holds. One that starts while the log is out
// asks peers in several failure domains and takes the newest.
//
// Requests that may not be repeated are claimed on the log before they run. The
// first claim of a key wins; every later one learns who was first.
package control
