package entry

import (
	"cmp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
)

// Config holds the settings of an Entry.
type Config struct {
	Process          wardturn.Incarnation
	Region           wardturn.Region
	Domain           wardturn.FailureDomain
	Router           decide.RouterConfig
	HostsInterval    time.Duration // interval between reads of the host list
	MaxBody          int           // maximum size of a request body in bytes
	MaxRequests      int           // maximum number of concurrent requests
	Deadline         time.Duration // default for requests without a deadline
	MaxDeadline      time.Duration
	DeadlineGrace    time.Duration // how long a request waits after its deadline for the agent's result
	ReattachTimeout  time.Duration // timeout for reattaching to an attempt whose connection was lost
	ConnectTimeout   time.Duration // timeout for the first connection to an agent
	IdleTimeout      time.Duration // after which an unused connection is closed
	MaxTries         int           // maximum number of upstreams tried for a request
	SnapshotInterval time.Duration // interval between snapshots of the configuration
	RetryShare       float64       // maximum ratio of retries to requests
	AllowAnonymous   bool          // requests need no key; only for loopback
	CallerKeys       []KeyGrant    // in addition to the keys in the configuration
	OperatorKeys     []KeyGrant
	DefaultOutput    wardturn.Tokens // expected output of requests that set no maximum
	MaxConnections   int             // maximum number of connections of callers; zero: no limit
	MaxHeadBytes     int64           // memory of the heads of all requests beyond a few KB each; zero: no limit
	MaxBodyBytes     int64           // memory of the bodies of all requests beyond a few KB each; zero: no limit
	StallTimeout     time.Duration   // how long a caller may take no byte of a response
}

// KeyGrant grants the holder of a key access under a name.
type KeyGrant struct {
	Name   string
	Digest string // SHA-256 in hexadecimal
}

// Default values of Config.
const (
	DefaultHostsInterval    = time.Second
	DefaultMaxBody          = 1 << 20
	DefaultMaxRequests      = 20_000
	DefaultDeadline         = 60 * time.Second
	DefaultMaxDeadline      = 24 * time.Hour
	DefaultDeadlineGrace    = 500 * time.Millisecond
	DefaultReattachTimeout  = 5 * time.Second
	DefaultConnectTimeout   = 500 * time.Millisecond
	DefaultIdleTimeout      = 2 * time.Minute
	DefaultMaxTries         = 3
	DefaultSnapshotInterval = time.Hour
	DefaultRetryShare       = 0.1
	DefaultOutput           = 64
	DefaultStallTimeout     = 10 * time.Second
)

// WithDefaults returns a copy of the configuration in which zero values are replaced by
// the defaults.
func (c Config) WithDefaults() Config {
	c.HostsInterval = cmp.Or(c.HostsInterval, DefaultHostsInterval)
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	c.MaxRequests = cmp.Or(c.MaxRequests, DefaultMaxRequests)
	c.Deadline = cmp.Or(c.Deadline, DefaultDeadline)
	c.MaxDeadline = cmp.Or(c.MaxDeadline, DefaultMaxDeadline)
	c.DeadlineGrace = cmp.Or(c.DeadlineGrace, DefaultDeadlineGrace)
	c.ReattachTimeout = cmp.Or(c.ReattachTimeout, DefaultReattachTimeout)
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, DefaultConnectTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxTries = cmp.Or(c.MaxTries, DefaultMaxTries)
	c.SnapshotInterval = cmp.Or(c.SnapshotInterval, DefaultSnapshotInterval)
	c.RetryShare = cmp.Or(c.RetryShare, DefaultRetryShare)
	c.DefaultOutput = cmp.Or(c.DefaultOutput, DefaultOutput)
	c.StallTimeout = cmp.Or(c.StallTimeout, DefaultStallTimeout)
	c.Router.Region = c.Region
	c.Router.Domain = c.Domain
	return c
}

// ErrInvalidKeyGrant is the error that ParseKeyGrant returns for malformed input.
var ErrInvalidKeyGrant = errors.New("must be name:sha256 in hexadecimal")

// Check returns all invalid settings of the configuration.
func (c Config) Check() wardturn.SettingProblems {
	var list wardturn.SettingProblems
	list.Require(wardturn.ValidName(string(c.Region)), "region", "must be a name")
	list.Require(wardturn.ValidName(string(c.Domain)), "domain", "must be a name")
	list.Require(c.MaxBody >= 0, "max-body", "must not be negative")
	list.Require(c.MaxRequests >= 0, "max-requests", "must not be negative")
	list.Require(c.StallTimeout >= 0, "stall-timeout", "must not be negative")
	list.Require(c.Deadline >= 0, "deadline", "must not be negative")
	list.Require(c.RetryShare >= 0 && c.RetryShare <= 1, "retry-share", "must be from 0 to 1")
	return list
}

// ParseKeyGrant parses "name:digest".
func ParseKeyGrant(s string) (KeyGrant, error) {
	name, digest, ok := strings.Cut(s, ":")
	if !ok || !wardturn.ValidName(name) || len(digest) != len(control.KeyDigest("")) {
		return KeyGrant{}, ErrInvalidKeyGrant
	}
	return KeyGrant{
		Name:   name,
		Digest: strings.ToLower(digest),
	}, nil
}
