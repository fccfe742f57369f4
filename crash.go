package wardturn

import "time"

// Crash is the end of an upstream, without notice, while a request was there.
type Crash struct {
	Content  ContentID
	Upstream UpstreamID // the lifetime that ended
}

// CrashChange is what was read of the crashes that gateways have recorded.
type CrashChange struct {
	From    Position // from which they were read; zero: all that there is
	To      Position // up to which they were read
	Crashes []RecordedCrash
	Cleared []Crash // records that were taken back
	// Returned says that the store has come back from an older copy of itself since: records
	// that are not among these are gone.
	Returned bool
}

// RecordedCrash is a crash with the time at which it was recorded.
type RecordedCrash struct {
	Crash
	At time.Time
}

// CrashRecord keeps crashes in the platform's store, so that they outlive gateways and
// reach those that hear of nobody else.
type CrashRecord interface {
	// Next returns all records at first, and after that the changes since the last call.
	// It is used by one goroutine.
	Next() (CrashChange, error)
	// Write records crashes and takes records back. With an error it may or may not have
	// been done; doing it again changes nothing.
	Write(at time.Time, crashes, takeBack []Crash) error
}
