package wardturn

import (
	"strconv"
	"strings"
)

// lifetimeSeparator separates the instance name and the start time in an UpstreamID.
const lifetimeSeparator = "~"

// NewUpstreamID returns the ID of one lifetime of an upstream. The instance is the name that
// the upstream reports of itself and keeps when it restarts; startMS is its start time in
// Unix milliseconds, or zero if the upstream does not report it.
//
// The state of an upstream is stored by lifetime, so it is dropped at a restart. A delayed or
// relayed message about an earlier lifetime cannot be mistaken for one about the current
// lifetime.
func NewUpstreamID(instance string, startMS int64) UpstreamID {
	id := UpstreamID(instance)
	if own, _ := id.split(); instance == "" || startMS == 0 && own == instance {
		return id
	}
	// A zero start time is written out if the name itself looks like one with a start time.
	return UpstreamID(instance + lifetimeSeparator + strconv.FormatInt(startMS, 10))
}

// Instance returns the name that the upstream reports of itself.
func (id UpstreamID) Instance() string {
	instance, _ := id.split()
	return instance
}

// StartMS returns the start time of the lifetime in Unix milliseconds, or zero if it is not
// known.
func (id UpstreamID) StartMS() int64 {
	_, startMS := id.split()
	return startMS
}

// Next returns an ID for the lifetime that follows this one, as long as its start time is not known.
// For an upstream that does not report start times it is that of a lifetime that started at the first one.
func (id UpstreamID) Next() UpstreamID {
	instance, startMS := id.split()
	return NewUpstreamID(instance, startMS+1)
}

// Before reports whether this is an earlier lifetime of the same instance.
func (id UpstreamID) Before(o UpstreamID) bool {
	instance, startMS := id.split()
	otherInstance, otherStartMS := o.split()
	return instance == otherInstance && startMS < otherStartMS
}

func (id UpstreamID) split() (instance string, startMS int64) {
	i := strings.LastIndex(string(id), lifetimeSeparator)
	if i < 0 {
		return string(id), 0
	}
	startMS, err := strconv.ParseInt(string(id[i+1:]), 10, 64)
	if err != nil {
		return string(id), 0
	}
	return string(id[:i]), startMS
}
