package wardturn

import (
	"slices"
	"time"
)

// Repeatability specifies how often a request may be executed.
type Repeatability uint8

const (
	// NotRepeatable allows at most one execution for each attempt of a caller.
	NotRepeatable Repeatability = iota
	// Repeatable allows several executions.
	Repeatable
)

// RouteTable is one version of the operator's configuration: routes from paths to
// services, and the specifications of the services. A table is immutable once it has
// been published to readers.
type RouteTable struct {
	Version  int64
	Routes   []Route
	Services map[ServiceName]ServiceSpec
	Limits   CallerLimits
	Teams    []Team
	// HasTeams reports whether the configuration has teams: a request of a route that is not
	// public must then carry the key of a team.
	HasTeams bool
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // starts and ends with a slash
	Targets       []RouteTarget
	Repeatability Repeatability
	Streaming     bool          // the response is a stream of events
	Resumable     bool          // an interrupted stream may be resumed at another upstream
	Timeout       time.Duration // maximum time for which a request is held
	Objective     time.Duration // latency objective; of a stream, for its first event
	MaxPause      time.Duration // longest pause between events of a stream that meets its objective
	Priority      int           // 0 is the most urgent
	Public        bool          // requests do not need a key
	Regions       Regions       // where requests may be served
	MaxUpstreams  int           // maximum number of upstreams that may run one attempt
}

// RouteTarget is a service that gets a weighted share of a route's requests.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// ServiceSpec describes the upstreams of one service.
type ServiceSpec struct {
	Name     ServiceName
	MaxConns int         // maximum number of connections of one upstream, over all callers
	Engine   *EngineSpec // nil for a plain service
	// ColdRate is the number of requests per second that a cold upstream (see
	// Member.ColdFor) accepts from all gateways together; zero: as many as a warm one.
	ColdRate float64
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Batch        int // maximum number of concurrent requests
	AdapterSlots int
	// Memory is that for the weights of models and their adapters; zero: not stated. Sizes are not part
	// of the encoded form, which older builds fix.
	Memory Megabytes `msgpack:"-"`
	Models []ModelSpec
}

// Equal reports whether two specifications are equal.
func (s EngineSpec) Equal(o EngineSpec) bool {
	return s.Batch == o.Batch && s.AdapterSlots == o.AdapterSlots && s.Memory == o.Memory && slices.Equal(s.Models, o.Models)
}

// WithSizesOf returns the specification with the sizes of another one, for models that both have.
func (s EngineSpec) WithSizesOf(o EngineSpec) EngineSpec {
	s.Memory = o.Memory
	s.Models = slices.Clone(s.Models)
	for i, m := range s.Models {
		s.Models[i].Weights, s.Models[i].AdapterSize = 0, 0
		for _, other := range o.Models {
			if other.Name == m.Name {
				s.Models[i].Weights = other.Weights
				s.Models[i].AdapterSize = other.AdapterSize
			}
		}
	}
	return s
}

// ModelSpec describes a base model.
type ModelSpec struct {
	Name        BaseModel
	LoadTime    time.Duration
	Weights     Megabytes `msgpack:"-"` // of the model without adapters
	AdapterSize Megabytes `msgpack:"-"` // of one adapter
}

// Megabytes is a size of weights in memory.
type Megabytes float64

// CallerLimits are the size limits and timeouts for what one caller sends.
type CallerLimits struct {
	MaxHeader     int // bytes
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ModelAdapter identifies an adapter of a base model. An empty adapter stands for the
// base model itself.
type ModelAdapter struct {
	Model   BaseModel `msgpack:"m"`
	Adapter AdapterID `msgpack:"a"`
}

// Member is an upstream in the platform's list.
type Member struct {
	ID         UpstreamID // identifies one lifetime: a restarted upstream is another member
	Service    ServiceName
	Addr       string // IP:port
	Domain     FailureDomain
	Slots      int // requests that it processes concurrently
	Draining   bool
	ShutdownAt time.Time // when it will be shut down, if announced; zero: not known
	// ColdFor is how much longer it accepts only few requests, according to its entry; zero:
	// it is warm.
	ColdFor  time.Duration
	Position Position // position of its latest entry in the list
	// Software is constant during a lifetime. It is not part of the encoding between
	// processes, which older builds must be able to read.
	Software SoftwareVersion `msgpack:"-"`
}

// MemberList is the result of one read of the platform's list of upstreams.
type MemberList struct {
	Members   []Member
	Expired   []UpstreamID // entries that ended since the previous read
	Change    MemberChange // since the previous read, to be passed on to other readers
	Unchanged bool         // unchanged since the previous read; Members is nil
	// Restored reports that the metadata store was restored from an older copy since the
	// previous read: some upstreams have to write their entries again.
	Restored bool
}

// MemberChange is a range of the changes to the list of upstreams, sent by one reader to
// others. A reader that has read the list up to From can apply it and is then up to date
// with To.
type MemberChange struct {
	From    Position // negative: the whole list was read, and only To is set
	To      Position
	Changed []Member // without ShutdownAt, which is a time of the reader's clock
	Expired []UpstreamID
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Upstream UpstreamID // lifetime that reports; empty if the engine does not report it
	StartMS  int64      // its start in Unix milliseconds; zero if the engine does not report it
	Seq      uint64     // number of orders accepted since its start
	Busy     bool       // an order on a base model is in progress
	Leaving  bool       // it is about to shut down and must get no new requests
	Running  int
	Queued   int
	KVUsed   int // tokens in use that cannot be evicted
	KVTotal  int // tokens
	// Limit is the number of requests per second that the engine accepts; zero if it
	// reports no limit or one that cannot be parsed.
	Limit   RequestRate
	Models  []LoadedModel
	Loading []AdapterVersion
}

// LoadedModel is a base model that is loaded at an engine.
type LoadedModel struct {
	Name     BaseModel
	Version  Version
	Adapters []AdapterVersion
}

// AdapterVersion is an adapter of a model at one version.
type AdapterVersion struct {
	Model   BaseModel `msgpack:"m"`
	Adapter AdapterID `msgpack:"a"`
	Version Version   `msgpack:"v"`
}

// Key returns the adapter without its version.
func (v AdapterVersion) Key() ModelAdapter {
	return ModelAdapter{
		Model:   v.Model,
		Adapter: v.Adapter,
	}
}

// EngineOrder instructs an engine to load or unload a model or an adapter. The engine
// executes it only if it is in the given lifetime, has the expected sequence number and
// has seen no order of a newer holder. A holder is a process that gives the engine orders.
type EngineOrder struct {
	Unload      bool
	Target      ModelAdapter
	Version     Version // zero: the newest
	Upstream    UpstreamID
	ExpectedSeq uint64 // Seq of the engine before this order
	Holder      Incarnation
	Fence       Fence
}

// OrderResult is the result of an engine order.
type OrderResult uint8

const (
	// OrderAccepted means that the order is in progress or executed.
	OrderAccepted OrderResult = iota
	// OrderNoChange means that the engine is already in the requested state.
	OrderNoChange
	// OrderConflict means that the order was refused because another is in
	// progress, or because the engine's sequence number is not the expected one.
	OrderConflict
	// OrderStale means that the order was refused because a newer holder has given
	// orders.
	OrderStale
	// OrderInvalid means that the order was refused and would be refused again.
	OrderInvalid
	// OrderLost means that there was no response: the order may be executed now,
	// later or never.
	OrderLost
)

// String returns the name used in logs.
func (r OrderResult) String() string {
	switch r {
	case OrderAccepted:
		return "taken"
	case OrderNoChange:
		return "holds"
	case OrderConflict:
		return "conflict"
	case OrderStale:
		return "stale"
	case OrderInvalid:
		return "invalid"
	}
	return "lost"
}

// HeaderNames are the names of request headers.
type HeaderNames struct {
	AttemptID      string // ID of the caller's attempt
	DeadlineMS     string // how long the sender waits, in milliseconds
	Adapter        string // model, or model/adapter
	TokenCount     string // tokens of the prompt and maximum number of output tokens
	Prompt         string // parts of the prompt that other prompts may share
	LastEventID    string // last event of a stream that the caller has received
	Resumes        string // ID of the attempt that brought the first event of that stream
	ExpectInstance string // instance of the upstream that may run the request
	ExpectVersion  string // version of the weights that may run it
	Priority       string // priority at the upstream; 0 is the most urgent
	Team           string // team of the request; set by the system only
	// Reserved are headers that make an upstream reserve memory, transfer its cached
	// data or wait. Only the system may send them.
	Reserved []string
}

// ConfigChange is a change of the operator's configuration.
type ConfigChange struct {
	To       Position         // position up to which the source has read
	Table    *RouteTable      // nil: unchanged
	Versions []AdapterVersion // newest versions of weights that were announced
	// Evacuated is the set of all evacuated failure domains; nil: unchanged.
	Evacuated Evacuations
	// Restored reports that the metadata store was restored from an older copy since the
	// previous call: the operator has to write some records again.
	Restored bool
	// Read are the records that the source has read from the metadata store itself, for other
	// gateways. From is negative if it has read the whole configuration or if the records are
	// too long to be announced.
	Read ConfigRecords
}

// ConfigRecords are the records of the operator's configuration from one position to another,
// in the source's encoding. The encodings of consecutive records can be concatenated.
type ConfigRecords struct {
	From Position // of the first record
	To   Position // of the record after the last one
	Data []byte   // compressed; contains no keys of callers
}

// Evacuations is the set of failure domains whose upstreams must get no requests.
type Evacuations map[FailureDomain]bool

// ConfigSource provides the operator's configuration, in order. Poll may run concurrently with
// the other calls, which must not be concurrent with each other.
type ConfigSource interface {
	// Poll waits up to wait for records from a position on and returns a function that
	// applies them and returns what has changed. If the position is negative, it reads the
	// whole configuration. Records that Apply has applied in the meantime are skipped.
	Poll(from Position, wait time.Duration) (apply func() ConfigChange, err error)
	// Apply applies records that another source has read and returns what has changed;
	// records that are already known are skipped. It reports false if the records do not
	// follow what is known or cannot be decoded: the source has to read itself.
	Apply(r ConfigRecords) (ConfigChange, bool)
}

// MemberSource provides the platform's list of upstreams. It must be used by one
// goroutine only.
type MemberSource interface {
	// Next reads the current list. If the whole list takes several responses, progress is
	// called between them with the members read so far, unless progress is nil.
	Next(progress func([]Member)) (MemberList, error)
	// Apply applies a change that another reader has read and returns the resulting
	// list. It reports false if the change does not follow what is known: the list
	// has to be read.
	Apply(c MemberChange) (MemberList, bool)
}

// FleetFacts are facts about the weight store and the gateways that are kept across
// restarts of the gateways.
type FleetFacts struct {
	LoadWindow int // maximum number of concurrent loads; zero: not known
	Gateways   int // number of gateways; zero: not known
}

// FleetFactStore stores FleetFacts in the platform's metadata store.
type FleetFactStore interface {
	// ReadFleetFacts returns the facts that were written last.
	ReadFleetFacts() (FleetFacts, error)
	// WriteFleetFacts replaces the stored facts.
	WriteFleetFacts(f FleetFacts) error
}

// EngineController is a model engine, as used by the process next to it.
type EngineController interface {
	// Report returns the engine's state.
	Report() (EngineState, error)
	// RunningRequests returns the IDs, as given by callers, of the requests that the engine is
	// running. Listed is false if the engine does not list them.
	RunningRequests() (ids []string, listed bool, err error)
	// Order sends an order and returns its result.
	Order(o EngineOrder) OrderResult
}

// FenceSource issues fences to processes at their start.
type FenceSource interface {
	// TakeFence returns a fence that is higher than every earlier one.
	TakeFence(holder Incarnation) (Fence, error)
}
