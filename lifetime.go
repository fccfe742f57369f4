package wardturn

import (
	"strconv"
	"strings"
)

// lifetimeMark stands between the instance of an upstream and the time of its start.
const lifetimeMark = "~"

// Lifetime names one lifetime of an upstream that may start again under the name by
// which it knows itself. Born is its start in Unix milliseconds; zero: it does not
// tell. What is known of an upstream is kept by its lifetime and so ends with it, also
// where the word of an earlier one comes late or through a relay.
func Lifetime(instance string, born int64) UpstreamID {
	if instance == "" || born == 0 {
		return UpstreamID(instance)
	}
	return UpstreamID(instance + lifetimeMark + strconv.FormatInt(born, 10))
}

// Instance returns the name by which the upstream knows itself.
func (id UpstreamID) Instance() string {
	instance, _ := id.split()
	return instance
}

// Born returns the start of the lifetime in Unix milliseconds; zero: it is not known.
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
