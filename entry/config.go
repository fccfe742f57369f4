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

// Config holds an entry's settings.
type Config struct {
	Process       wardturn.Incarnation
	Region        wardturn.Region
	Domain        wardturn.FailureDomain
	Router        decide.RouterConfig
	HostsEvery    time.Duration // between reads of the host list
	MaxBody       int           // bytes of a request
	MaxRequests   int           // at once
	Deadline      time.Duration // of requests that name none
	MaxDeadline   time.Duration
	DeadlineGrace time.Duration // past its deadline that a request waits for its agent's word
	AttachLimit   time.Duration // to find a lost attempt again
	ConnectLimit  time.Duration // for a first connection to an agent
	IdleLink      time.Duration // after which an unused connection is closed
	Tries         int           // upstreams tried for one request
	SnapshotEvery time.Duration // between snapshots of the configuration
	RetryShare    float64       // retries as a part of the requests
	Open          bool          // callers need no key; only for loopback
	CallerKeys    []KeyGrant    // beside those of the configuration
	OperatorKeys  []KeyGrant
	DefaultOutput wardturn.Tokens // expected for requests that set no maximum
}

// KeyGrant gives a role to whoever holds a key.
type KeyGrant struct {
	Name   string
	Digest string // SHA-256 in hexadecimal
}

// The defaults of Config.
const (
	DefaultHostsEvery   = time.Second
	DefaultMaxBody      = 1 << 20
	DefaultMaxRequests  = 20_000
	DefaultDeadline     = 60 * time.Second
	DefaultMaxDeadline  = 24 * time.Hour
	DefaultGrace        = 500 * time.Millisecond
	DefaultAttachLimit  = 5 * time.Second
	DefaultConnectLimit = 500 * time.Millisecond
	DefaultIdleLink     = 2 * time.Minute
	DefaultTries        = 3
	DefaultSnapshot     = time.Hour
	DefaultRetryShare   = 0.1
	DefaultOutput       = 64
)

// WithDefaults returns the configuration with zero values replaced.
func (c Config) WithDefaults() Config {
	c.HostsEvery = cmp.Or(c.HostsEvery, DefaultHostsEvery)
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	c.MaxRequests = cmp.Or(c.MaxRequests, DefaultMaxRequests)
	c.Deadline = cmp.Or(c.Deadline, DefaultDeadline)
	c.MaxDeadline = cmp.Or(c.MaxDeadline, DefaultMaxDeadline)
	c.DeadlineGrace = cmp.Or(c.DeadlineGrace, DefaultGrace)
	c.AttachLimit = cmp.Or(c.AttachLimit, DefaultAttachLimit)
	c.ConnectLimit = cmp.Or(c.ConnectLimit, DefaultConnectLimit)
	c.IdleLink = cmp.Or(c.IdleLink, DefaultIdleLink)
	c.Tries = cmp.Or(c.Tries, DefaultTries)
	c.SnapshotEvery = cmp.Or(c.SnapshotEvery, DefaultSnapshot)
	c.RetryShare = cmp.Or(c.RetryShare, DefaultRetryShare)
	c.DefaultOutput = cmp.Or(c.DefaultOutput, DefaultOutput)
	c.Router.Region = c.Region
	c.Router.Domain = c.Domain
	return c
}

// ErrBadKey is returned by ParseKeyGrant.
var ErrBadKey = errors.New("must be name:sha256 in hexadecimal")

// Check returns every problem of the configuration.
func (c Config) Check() wardturn.SettingProblems {
	var list wardturn.SettingProblems
	list.Require(wardturn.ValidName(string(c.Region)), "region", "must be a name")
	list.Require(wardturn.ValidName(string(c.Domain)), "domain", "must be a name")
	list.Require(c.MaxBody >= 0, "max-body", "must not be negative")
	list.Require(c.MaxRequests >= 0, "max-requests", "must not be negative")
	list.Require(c.Deadline >= 0, "deadline", "must not be negative")
	list.Require(c.RetryShare >= 0 && c.RetryShare <= 1, "retry-share", "must be from 0 to 1")
	return list
}

// ParseKeyGrant reads "name:digest".
func ParseKeyGrant(s string) (KeyGrant, error) {
	name, digest, ok := strings.Cut(s, ":")
	if !ok || !wardturn.ValidName(name) || len(digest) != len(control.KeyDigest("")) {
		return KeyGrant{}, ErrBadKey
	}
	return KeyGrant{
		Name:   name,
		Digest: strings.ToLower(digest),
	}, nil
}
