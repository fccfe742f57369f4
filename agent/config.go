package agent

import (
	"cmp"
	"time"

	"wardturn"
	"wardturn/decide"
)

// Config holds an agent's settings. Exactly one of Model and Service is set.
type Config struct {
	Upstream         wardturn.UpstreamID
	Process          wardturn.Incarnation
	Region           wardturn.Region
	Domain           wardturn.FailureDomain
	Model            wardturn.BaseModel
	Service          wardturn.ServiceName
	Slots            int // adapter slots of the engine
	MaxRunning       int // maximum number of running requests
	MaxQueue         int // maximum number of waiting requests
	Store            decide.StoreLimit
	StoreAgents      int           // initial estimate of the agents that share the store
	ReportInterval   time.Duration // interval between reads of the engine's report
	HostsInterval    time.Duration // interval between reads of the host list
	RequireFence     bool          // send no orders before the log has assigned a fence
	ResponseBuffer   int           // bytes of a response buffered for a slow entry
	RetainedBytes    int           // total bytes retained of the responses of ended attempts
	AttemptTTL       time.Duration // how long ended attempts are remembered
	MaxEndedAttempts int           // maximum number of ended attempts remembered
	OrphanGrace      time.Duration // how long an attempt runs on without an entry
	// MaxConnections limits the connections of entries and other agents. Zero means no limit.
	MaxConnections int
	// MaxMessageBytes limits the memory in bytes of messages of all connections together that are
	// read or wait to be sent, beyond a few KB for each connection. Zero means no limit.
	MaxMessageBytes int64
	// MaxQueuedBytes limits the bytes of the bodies of all requests that wait or run. Zero means no
	// limit.
	MaxQueuedBytes int64
}

// Default values of Config.
const (
	DefaultReportInterval   = 500 * time.Millisecond
	DefaultHostsInterval    = time.Second
	DefaultResponseBuffer   = 1 << 20
	DefaultRetainedBytes    = 16 << 20
	DefaultAttemptTTL       = time.Minute
	DefaultMaxEndedAttempts = 20_000
	DefaultOrphanGrace      = 10 * time.Second
	DefaultMaxRunning       = 16
)

// WithDefaults returns a copy of c with zero values replaced by their defaults.
func (c Config) WithDefaults() Config {
	c.ReportInterval = cmp.Or(c.ReportInterval, DefaultReportInterval)
	c.HostsInterval = cmp.Or(c.HostsInterval, DefaultHostsInterval)
	c.ResponseBuffer = cmp.Or(c.ResponseBuffer, DefaultResponseBuffer)
	c.RetainedBytes = cmp.Or(c.RetainedBytes, DefaultRetainedBytes)
	c.AttemptTTL = cmp.Or(c.AttemptTTL, DefaultAttemptTTL)
	c.MaxEndedAttempts = cmp.Or(c.MaxEndedAttempts, DefaultMaxEndedAttempts)
	c.OrphanGrace = cmp.Or(c.OrphanGrace, DefaultOrphanGrace)
	c.MaxRunning = cmp.Or(c.MaxRunning, DefaultMaxRunning)
	c.StoreAgents = cmp.Or(c.StoreAgents, 1)
	return c
}

// Check returns all problems of the configuration.
func (c Config) Check() wardturn.SettingProblems {
	var list wardturn.SettingProblems
	list.Require(wardturn.ValidName(string(c.Upstream)), "upstream", "must be a name")
	list.Require(wardturn.ValidName(string(c.Region)), "region", "must be a name")
	list.Require(wardturn.ValidName(string(c.Domain)), "domain", "must be a name")
	list.Require((c.Model == "") != (c.Service == ""), "model", "exactly one of --model and --service must be set")
	list.Require(c.Model == "" || c.Slots > 0, "slots", "must be positive for a model engine")
	list.Require(c.MaxRunning >= 0, "max-running", "must not be negative")
	list.Require(c.MaxQueue >= 0, "max-queue", "must not be negative")
	list.Require(c.Model == "" || c.Store.Rate > 0, "store-rate", "must be positive")
	list.Require(c.Model == "" || c.Store.Parallel > 0, "store-parallel", "must be positive")
	return list
}
