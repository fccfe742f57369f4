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
	MaxRunning       int // requests that run at once
	MaxQueue         int // requests that wait at most
	Store            decide.StoreLimit
	StoreAgents      int           // agents that share the store, as a first guess
	ReportEvery      time.Duration // between reads of the engine's report
	HostsEvery       time.Duration // between reads of the host list
	RequireFence     bool          // give no orders without a fence from the log
	ResponseBuffer   int           // bytes of an answer kept for a slow or lost entry
	KeepBytes        int           // of all ended answers together
	AttemptTTL       time.Duration // time for which ended attempts are remembered
	MaxEndedAttempts int           // number of ended attempts remembered
	OrphanGrace      time.Duration // time that an attempt runs on without an entry
}

// The defaults of Config.
const (
	DefaultReportEvery      = 500 * time.Millisecond
	DefaultHostsEvery       = time.Second
	DefaultResponseBuffer   = 1 << 20
	DefaultKeepBytes        = 16 << 20
	DefaultAttemptTTL       = time.Minute
	DefaultMaxEndedAttempts = 20_000
	DefaultOrphanGrace      = 10 * time.Second
	DefaultMaxRunning       = 16
)

// WithDefaults returns the configuration with zero values replaced.
func (c Config) WithDefaults() Config {
	c.ReportEvery = cmp.Or(c.ReportEvery, DefaultReportEvery)
	c.HostsEvery = cmp.Or(c.HostsEvery, DefaultHostsEvery)
	c.ResponseBuffer = cmp.Or(c.ResponseBuffer, DefaultResponseBuffer)
	c.KeepBytes = cmp.Or(c.KeepBytes, DefaultKeepBytes)
	c.AttemptTTL = cmp.Or(c.AttemptTTL, DefaultAttemptTTL)
	c.MaxEndedAttempts = cmp.Or(c.MaxEndedAttempts, DefaultMaxEndedAttempts)
	c.OrphanGrace = cmp.Or(c.OrphanGrace, DefaultOrphanGrace)
	c.MaxRunning = cmp.Or(c.MaxRunning, DefaultMaxRunning)
	c.StoreAgents = cmp.Or(c.StoreAgents, 1)
	return c
}

// Check returns every problem of the configuration.
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
