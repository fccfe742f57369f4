package wardturn

import "time"

// Crash records that an upstream ended without notice while it had a request.
type Crash struct {
	Content  ContentID
	Upstream UpstreamID // the lifetime that ended
}

// CrashChange is the result of reading the crash records that gateways have written.
type CrashChange struct {
	From    Position // start of the range that was read; zero: all records
	To      Position // end of the range that was read
	Crashes []RecordedCrash
	Removed []Crash // records that were removed
	// Restored reports that the metadata store was restored from an older copy since the
	// previous read: records that are not in Crashes are lost.
	Restored bool
}

// RecordedCrash is a crash with the time at which it was recorded.
type RecordedCrash struct {
	Crash
	At time.Time
}

// CrashStore stores crashes in the platform's metadata store, so that they outlive gateways
// and reach gateways that receive no messages from others.
type CrashStore interface {
	// Next returns all records on the first call, and the changes since the previous call
	// after that. It must be called from one goroutine only.
	Next() (CrashChange, error)
	// Write adds records of crashes and removes records. After an error the write may or
	// may not have taken effect; it is idempotent and can be repeated.
	Write(at time.Time, crashes, remove []Crash) error
}
