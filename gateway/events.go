package gateway

import (
	"bytes"
	"hash/maphash"
	"math"
	"strconv"
)

const (
	// maxEventSize is the maximum size in bytes of an incomplete event that is buffered.
	// Longer events are forwarded in parts, and their stream cannot be resumed.
	maxEventSize = 64 << 10
	// maxChecksums is the maximum number of events per stream whose checksum (8 bytes) is
	// kept. Later events are not recognized as duplicates.
	maxChecksums = 4096
)

var (
	eventID   = []byte("id:")
	eventData = []byte("data:")
)

// resumeMismatch is the reason why a response that resumes a stream does not continue
// after the caller's last event. It is empty if the response does.
type resumeMismatch string

const (
	// mismatchMissing: events between the caller's last one and this one are missing.
	mismatchMissing resumeMismatch = "missing"
	// mismatchOtherRun: a repeated event differs from the one the caller has, so the
	// response is from another run of the request.
	mismatchOtherRun resumeMismatch = "other_run"
	// mismatchNoNumber: the event has no number, so its position is unknown.
	mismatchNoNumber resumeMismatch = "no_number"
	// mismatchRepeated: the caller already has the event. It is dropped and the stream
	// continues.
	mismatchRepeated resumeMismatch = "repeated"
)

// events forwards a resumable stream of server-sent events event by event, so that it can
// be resumed at another upstream after the last complete event.
//
// In a response that resumes a stream, each event's number must follow that of the caller's
// last event. Without this check, a caller could receive a stream that looks complete but
// has missing or duplicate events, or events of two different runs. Events that the caller
// already has are dropped if their checksums match.
type events struct {
	part        []byte // incomplete event
	overflowed  bool   // the first part of the current event was already forwarded
	last        string // ID of the last complete event that was forwarded
	number      int64  // number of the caller's last complete event, if counted
	counted     bool   // IDs are consecutive numbers
	resumed     bool   // the response must continue after the last event
	forwarded   bool   // an event was forwarded
	unresumable bool   // the position at which to resume is unknown
	skipped     int    // duplicate events dropped from this response
	first       int64  // number of the event that checksums[0] belongs to
	checksums   []uint64
}

// checksumSeed is the seed of the event checksums in this process.
var checksumSeed = maphash.MakeSeed()

// startAfter sets the ID of the event after which the caller resumes its stream. If it is
// not a number, the response is forwarded unchecked.
func (e *events) startAfter(id string) {
	e.number, e.counted = eventNumber([]byte(id))
	e.resumed = e.counted
}

// resume prepares for a response that continues after the last complete event. It reports
// false if that could not be verified.
func (e *events) resume() bool {
	if e.unresumable || e.forwarded && !e.counted {
		return false
	}
	e.part = nil
	e.skipped = 0
	e.resumed = e.counted
	return true
}

// feed adds received data and returns the events that may be forwarded. After a mismatch
// the rest of the response must be discarded.
func (e *events) feed(data []byte) ([]byte, resumeMismatch) {
	e.part = append(e.part, data...)
	var out []byte
	for {
		end := firstEventEnd(e.part)
		if end < 0 {
			return e.overflow(out)
		}
		pass, mismatch := e.check(e.part[:end])
		if mismatch != "" {
			return out, mismatch
		}
		if pass {
			out = append(out, e.part[:end]...)
		}
		e.part = append(e.part[:0], e.part[end:]...)
	}
}

// firstEventEnd returns the length of the first event in data including its empty line, or
// -1 if the event is not complete.
func firstEventEnd(data []byte) int {
	for start := 0; ; {
		i := bytes.IndexByte(data[start:], '\n')
		if i < 0 {
			return -1
		}
		start += i + 1
		rest := bytes.TrimPrefix(data[start:], []byte("\r"))
		if len(rest) > 0 && rest[0] == '\n' {
			return len(data) - len(rest) + 1
		}
	}
}

// overflow appends the incomplete event to out if it is too long to be buffered further.
func (e *events) overflow(out []byte) ([]byte, resumeMismatch) {
	if len(e.part) < maxEventSize {
		return out, ""
	}
	pass, mismatch := e.check(e.part)
	if mismatch != "" {
		return out, mismatch
	}
	if pass {
		out = append(out, e.part...)
	}
	e.overflowed = true
	e.unresumable = true
	e.part = nil
	return out, ""
}

// finish returns the data after the last complete event, at the end of the stream.
func (e *events) finish() ([]byte, resumeMismatch) {
	data := e.part
	e.part = nil
	if len(data) == 0 {
		return nil, ""
	}
	pass, mismatch := e.check(data)
	if !pass || mismatch != "" {
		return nil, mismatch
	}
	return data, ""
}

// check records an event and reports whether it is to be forwarded, or why it does not
// belong to the stream.
func (e *events) check(event []byte) (bool, resumeMismatch) {
	if e.overflowed {
		e.overflowed = false // end of an event whose first part was recorded
		return true, ""
	}
	id, data := eventFields(event)
	if id == nil && !data {
		return true, "" // a comment; duplicates do no harm
	}
	n, numbered := eventNumber(id)
	if e.resumed {
		if pass, mismatch := e.follows(event, n, numbered); !pass {
			return false, mismatch
		}
	}
	e.record(event, id, n, numbered)
	return true, ""
}

// follows reports whether an event of a response that resumes a stream is the next one, or
// else why not. For a duplicate that is to be dropped, it returns false without a reason.
func (e *events) follows(event []byte, n int64, numbered bool) (bool, resumeMismatch) {
	switch {
	case !numbered:
		return false, mismatchNoNumber
	case n == e.number+1:
		return true, ""
	case n > e.number:
		return false, mismatchMissing
	}
	i := n - e.first
	if i < 0 || i >= int64(len(e.checksums)) || e.checksums[i] != maphash.Bytes(checksumSeed, event) {
		return false, mismatchOtherRun
	}
	e.skipped++
	return false, ""
}

// record records an event that is forwarded.
func (e *events) record(event, id []byte, n int64, numbered bool) {
	counted := numbered && (!e.forwarded && !e.resumed || e.counted && n == e.number+1)
	if !counted {
		e.unresumable = true
	}
	if len(e.checksums) == 0 {
		e.first = n
	}
	if len(e.checksums) < maxChecksums {
		e.checksums = append(e.checksums, maphash.Bytes(checksumSeed, event))
	}
	if id != nil {
		e.last = string(id)
	}
	e.number, e.counted = n, counted
	e.forwarded = true
}

// eventFields returns the ID of an event, nil if it has none, and whether the event has data.
func eventFields(event []byte) (id []byte, data bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, eventID); ok {
			id = bytes.TrimSpace(rest)
		}
		data = data || bytes.HasPrefix(line, eventData)
	}
	return id, data
}

// eventNumber parses an event ID as a number.
func eventNumber(id []byte) (int64, bool) {
	n, err := strconv.ParseInt(string(id), 10, 64)
	return n, err == nil && n >= 0 && n < math.MaxInt64
}
