package wardturn

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// AdapterID names a LoRA adapter, without its version.
type AdapterID string

// Version numbers the published weights of one adapter. Versions start at 1;
// zero means "the version in force".
type Version int64

// UpstreamID names one lifetime of a back end, a model engine or a plain service
// instance: see Lifetime.
type UpstreamID string

// FailureDomain names a group of hosts that can fail together.
type FailureDomain string

// Region names a group of failure domains that are close to each other.
type Region string

// BaseModel names the model that a group of engines shares.
type BaseModel string

// ServiceName names a plain service that runs beside the model engines.
type ServiceName string

// CallerID names a customer that sends requests.
type CallerID string

// TeamID names a group of callers that share quotas and operators.
type TeamID string

// RequestID names one request of a caller for its whole life.
type RequestID string

// AttemptID names one attempt to run a request on one upstream. An entry process
// numbers its attempts from 1 on and never uses a number twice, which lets an
// agent recognize a late copy without comparing clocks.
type AttemptID struct {
	Entry Incarnation `msgpack:"e"`
	Seq   uint64      `msgpack:"s"`
}

// String returns the form used in logs.
func (id AttemptID) String() string {
	return string(id.Entry) + "-" + strconv.FormatUint(id.Seq, 10)
}

// IdempotencyKey is the caller's name for an action that must not happen twice.
type IdempotencyKey string

// Digest is the hexadecimal SHA-256 of a request's method, path and body.
type Digest string

// Offset is the position of a record in the platform's log. The first record
// has offset 1; zero means "before any record".
type Offset int64

// Fence orders the agents of one upstream in time: an upstream that checks
// fences refuses an order whose fence is lower than one it has seen.
type Fence int64

// OrderID numbers the orders of one agent, so that an order sent twice is
// carried out once.
type OrderID uint64

// Incarnation names one run of a process, from its start to its end.
type Incarnation string

// Tokens counts prompt or output tokens.
type Tokens int

// AdapterRef is an adapter at one version. The zero value means "no adapter",
// which is what requests to plain services carry.
type AdapterRef struct {
	Adapter AdapterID `msgpack:"a" json:"adapter"`
	Version Version   `msgpack:"v" json:"version"`
}

// ErrBadAdapterRef is returned by ParseAdapterRef for a malformed reference.
var ErrBadAdapterRef = errors.New("wardturn: malformed adapter reference")

// maxNameLength bounds names taken from callers, in bytes.
const maxNameLength = 128

// IsZero reports whether the reference names no adapter.
func (r AdapterRef) IsZero() bool {
	return r.Adapter == ""
}

// String returns "adapter@version", or "adapter" while the version is open.
func (r AdapterRef) String() string {
	if r.Version == 0 {
		return string(r.Adapter)
	}
	return string(r.Adapter) + "@" + strconv.FormatInt(int64(r.Version), 10)
}

// ParseAdapterRef reads "adapter" or "adapter@version" as callers write it in
// the model field of a request.
func ParseAdapterRef(s string) (AdapterRef, error) {
	name, version, versioned := strings.Cut(s, "@")
	if !ValidName(name) {
		return AdapterRef{}, errors.Wrapf(ErrBadAdapterRef, "name %.40q", name)
	}
	ref := AdapterRef{
		Adapter: AdapterID(name),
	}
	if !versioned {
		return ref, nil
	}
	n, err := strconv.ParseInt(version, 10, 64)
	if err != nil || n < 1 {
		return AdapterRef{}, errors.Wrapf(ErrBadAdapterRef, "version %.40q", version)
	}
	ref.Version = Version(n)
	return ref, nil
}

// ValidName reports whether s may name an adapter, caller, service or team:
// 1 to 128 letters, digits, dots, dashes, underscores or slashes.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !nameByte(s[i]) {
			return false
		}
	}
	return true
}

func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '.', c == '-', c == '_', c == '/':
		return true
	}
	return false
}
