package wardturn

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// AdapterID identifies a LoRA adapter, without its version.
type AdapterID string

// Version is the number of a published set of weights of one adapter. Versions start
// at 1; zero stands for the current version.
type Version int64

// SoftwareVersion identifies the version of an upstream's software, not of its weights. It is
// empty if the upstream's entry does not state one.
type SoftwareVersion string

// UpstreamID identifies one lifetime of an upstream, which is a model engine or an
// instance of a plain service. A lifetime is one run of the upstream from its start to
// its end; an upstream that restarts under the same instance name has a new UpstreamID.
// See NewUpstreamID.
type UpstreamID string

// FailureDomain identifies a group of hosts that can fail together.
type FailureDomain string

// Region identifies a group of failure domains that are close to each other.
type Region string

// BaseModel identifies the base model that a group of engines serves.
type BaseModel string

// ServiceName identifies a plain service: a backend other than a model engine.
type ServiceName string

// CallerID identifies a customer that sends requests.
type CallerID string

// TeamID identifies a group of callers that share quotas and operators.
type TeamID string

// RequestID identifies a request of a caller, across all of its attempts.
type RequestID string

// AttemptID identifies one attempt to run a request on one upstream. An entry process
// numbers its attempts from 1 on and never reuses a number, so that an agent can
// recognize a delayed duplicate without comparing clocks.
type AttemptID struct {
	Entry Incarnation `msgpack:"e"`
	Seq   uint64      `msgpack:"s"`
}

// String returns the form used in logs.
func (id AttemptID) String() string {
	return string(id.Entry) + "-" + strconv.FormatUint(id.Seq, 10)
}

// IdempotencyKey identifies an operation that must not be executed twice. The caller
// chooses it.
type IdempotencyKey string

// Digest is the hexadecimal SHA-256 of a request's method, path and body.
type Digest string

// Offset is the position of a record in the platform's log. The first record
// has offset 1; zero means "before any record".
type Offset int64

// Fence is a fencing token. It orders the successive agents of one upstream: an upstream
// that checks fences refuses an order whose fence is lower than one it has seen.
type Fence int64

// OrderID numbers the orders of one agent, so that an order that is sent twice is
// executed once.
type OrderID uint64

// Incarnation identifies one run of a process, from its start to its end.
type Incarnation string

// Tokens counts prompt or output tokens.
type Tokens int

// AdapterRef is an adapter at one version. The zero value stands for no adapter, as in
// requests to plain services.
type AdapterRef struct {
	Adapter AdapterID `msgpack:"a" json:"adapter"`
	Version Version   `msgpack:"v" json:"version"`
}

// ErrBadAdapterRef is returned by ParseAdapterRef for a malformed reference.
var ErrBadAdapterRef = errors.New("wardturn: malformed adapter reference")

// maxNameLength is the maximum length, in bytes, of names received from callers.
const maxNameLength = 128

// IsZero reports whether the reference names no adapter.
func (r AdapterRef) IsZero() bool {
	return r.Adapter == ""
}

// String returns "adapter@version", or "adapter" if the version is zero.
func (r AdapterRef) String() string {
	if r.Version == 0 {
		return string(r.Adapter)
	}
	return string(r.Adapter) + "@" + strconv.FormatInt(int64(r.Version), 10)
}

// ParseAdapterRef parses "adapter" or "adapter@version", the form of the model field in
// requests of callers.
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

// ValidName reports whether s is a valid name of an adapter, caller, service or team:
// 1 to 128 letters, digits, dots, dashes, underscores or slashes.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '.', c == '-', c == '_', c == '/':
		return true
	}
	return false
}
