package wardturn

import (
	"strconv"
	"strings"
)

// lifetimeMark separates the instance name and the start time in an UpstreamID.
const lifetimeMark = "~"

// Lifetime returns the ID of one lifetime of an upstream. Instance is the name that the
// upstream reports of itself and that it keeps when it restarts. The second argument is
// its start time in Unix milliseconds; zero if the upstream does not report it. State of
// an upstream is stored by lifetime and so is dropped at a restart. A message about an
// earlier lifetime that is delayed or relayed cannot be mistaken for one about the
// current lifetime.
func Lifetime(instance string, born int64) UpstreamID {
	if instance == "" || born == 0 {
		return UpstreamID(instance)
	}
	return UpstreamID(instance + lifetimeMark + strconv.FormatInt(born, 10))
}

// Instance returns the name that the upstream reports of itself.
func (id UpstreamID) Instance() string {
	instance, _ := id.split()
	return instance
}

// Born returns the start time of the lifetime in Unix milliseconds, or zero if it is not
// known.
func (id UpstreamID) Born() int64 {
	_, born := id.split()
	return born
}

// Before reports whether this is an earlier lifetime of the same instance.
func (id UpstreamID) Before(o UpstreamID) bool {
	instance, born := id.split()
	other, bornLater := o.split()
	return instance == other && born < bornLater
}

func (id UpstreamID) split() (instance string, born int64) {
	i := strings.LastIndex(string(id), lifetimeMark)
	if i < 0 {
		return string(id), 0
	}
	born, err := strconv.ParseInt(string(id[i+1:]), 10, 64)
	if err != nil {
		return string(id), 0
	}
	return string(id[:i]), born
}
