package gateway

import (
	"bytes"
	"hash/maphash"
	"math"
	"strconv"
)

const (
	// maxEvent bounds what is kept of an event that is not whole yet, in bytes;
	// longer ones are passed on in parts, and their stream cannot be resumed.
	maxEvent = 64 << 10
	// maxSums bounds the events of a stream of which a sum of 8 bytes is kept;
	// later ones are not recognised when they come again.
	maxSums = 4096
)

var (
	eventEnd  = []byte("\n\n")
	eventID   = []byte("id:")
	eventData = []byte("data:")
)

// misplacement says why an answer that resumes a stream does not go on where it
// should; empty if it does.
type misplacement string

const (
	// missing: events between the caller's last one and this one did not come.
	missing misplacement = "missing"
	// otherRun: an event comes again that is not the one the caller has.
	otherRun misplacement = "other_run"
	// noNumber: nobody can tell whether the event is the next one.
	noNumber misplacement = "no_number"
	// repeated: the caller has the event; it is left out and the stream goes on.
	repeated misplacement = "repeated"
)

// events passes a resumable stream on event by event, so that it can go on at
// another upstream after the last whole one.
//
// Each event of an answer that resumes a stream must have the number after that
// of the caller's last event. Without that a caller gets streams with events
// missing or doubled, or joined from two runs, that look whole. Events that the
// caller has are left out if they are the same by their sums.
type events struct {
	part    []byte // of an event that is not whole
	long    bool   // the event's first part was passed on
	last    string // id of the last whole event that was passed on
	number  int64  // of the caller's last whole event, if counted
	counted bool   // ids are numbers that rise by one
	resumed bool   // the answer must go on after the last event
	passed  bool   // an event was passed on
	stuck   bool   // nobody can tell where the stream has to go on
	skipped int    // events left out of this answer
	first   int64  // number of the event of the first sum
	sums    []uint64
}

// sumSeed is that of the sums of events, in this process.
var sumSeed = maphash.MakeSeed()

// startAfter notes the event after which a caller resumes its stream. An id that
// is no number is the caller's and the upstream's matter.
func (e *events) startAfter(id string) {
	e.number, e.counted = eventNumber([]byte(id))
	e.resumed = e.counted
}

// resume prepares for an answer that goes on after the last whole event. It
// reports false if nobody could tell whether it does.
func (e *events) resume() bool {
	if e.stuck || e.passed && !e.counted {
		return false
	}
	e.part = nil
	e.skipped = 0
	e.resumed = e.counted
	return true
}

// take returns the events that may be passed on of what arrived so far. What
// comes after a misplaced event is worth nothing.
func (e *events) take(data []byte) ([]byte, misplacement) {
	e.part = append(e.part, data...)
	var out []byte
	for {
		end := bytes.Index(e.part, eventEnd)
		if end < 0 {
			return e.overflow(out)
		}
		end += len(eventEnd)
		pass, why := e.check(e.part[:end])
		if why != "" {
			return out, why
		}
		if pass {
			out = append(out, e.part[:end]...)
		}
		e.part = append(e.part[:0], e.part[end:]...)
	}
}

// overflow adds the part of an event that is too long to be kept.
func (e *events) overflow(out []byte) ([]byte, misplacement) {
	if len(e.part) < maxEvent {
		return out, ""
	}
	pass, why := e.check(e.part)
	if why != "" {
		return out, why
	}
	if pass {
		out = append(out, e.part...)
	}
	e.long = true
	e.stuck = true
	e.part = nil
	return out, ""
}

// rest returns what came after the last whole event, at the stream's end.
func (e *events) rest() ([]byte, misplacement) {
	data := e.part
	e.part = nil
	if len(data) == 0 {
		return nil, ""
	}
	pass, why := e.check(data)
	if !pass || why != "" {
		return nil, why
	}
	return data, ""
}

// check notes an event and reports whether it is passed on, or why it does not
// belong to the stream.
func (e *events) check(event []byte) (bool, misplacement) {
	if e.long {
		e.long = false // its end; the first part was noted
		return true, ""
	}
	id, data := fields(event)
	if id == nil && !data {
		return true, "" // a comment, which may come twice
	}
	n, ok := eventNumber(id)
	if e.resumed {
		if pass, why := e.follows(event, n, ok); !pass {
			return false, why
		}
	}
	e.note(event, id, n, ok)
	return true, ""
}

// follows reports whether an event of an answer that resumes a stream is the
// next one, or else why not; it says nothing of one that is left out.
func (e *events) follows(event []byte, n int64, ok bool) (bool, misplacement) {
	switch {
	case !ok:
		return false, noNumber
	case n == e.number+1:
		return true, ""
	case n > e.number:
		return false, missing
	}
	i := n - e.first
	if i < 0 || i >= int64(len(e.sums)) || e.sums[i] != maphash.Bytes(sumSeed, event) {
		return false, otherRun
	}
	e.skipped++
	return false, ""
}

// note remembers an event that is passed on.
func (e *events) note(event, id []byte, n int64, ok bool) {
	counted := ok && (!e.passed && !e.resumed || e.counted && n == e.number+1)
	if !counted {
		e.stuck = true
	}
	if len(e.sums) == 0 {
		e.first = n
	}
	if len(e.sums) < maxSums {
		e.sums = append(e.sums, maphash.Bytes(sumSeed, event))
	}
	if id != nil {
		e.last = string(id)
	}
	e.number, e.counted = n, counted
	e.passed = true
}

// fields returns the id of an event, nil if it has none, and whether it has data.
func fields(event []byte) (id []byte, data bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, eventID); ok {
			id = bytes.TrimSpace(rest)
		}
		data = data || bytes.HasPrefix(line, eventData)
	}
	return id, data
}

// eventNumber returns the number that an id is.
func eventNumber(id []byte) (int64, bool) {
	n, err := strconv.ParseInt(string(id), 10, 64)
	return n, err == nil && n >= 0 && n < math.MaxInt64
}
