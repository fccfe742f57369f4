package wardturn

import (
	"slices"
	"time"
)

// Repeatability says how often one request may run.
type Repeatability uint8

const (
	// RunOnce allows at most one run for each attempt of a caller.
	RunOnce Repeatability = iota
	// RunAgain allows several runs.
	RunAgain
)

// RouteTable is one version of the operator's configuration: which paths go to
// which services, and what the services are. A table is never changed after it
// was published to readers.
type RouteTable struct {
	Version  int64
	Routes   []Route
	Services map[ServiceName]ServiceSpec
	Limits   CallerLimits
	Teams    []Team
	// Keyed says that the configuration has teams: a request of a route that is not
	// public carries the key of one.
	Keyed bool
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // starts and ends with a slash
	Targets      []RouteTarget
	Repeats      Repeatability
	Streaming    bool          // the answer is a stream of events
	Resumable    bool          // a cut stream may go on at another upstream
	Timeout      time.Duration // the longest that a request is held
	Objective    time.Duration // latency within which the answer is on time; of a stream, to its first event
	MaxPause     time.Duration // between events of a stream that is on time
	Priority     int           // 0 is the most urgent
	Public       bool          // requests need no key
	Regions      Regions       // where requests may be served
	MaxUpstreams int           // upstreams that may run one attempt
}

// RouteTarget is a service that takes a share of a route's requests.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// ServiceSpec describes the upstreams of one service.
type ServiceSpec struct {
	Name     ServiceName
	MaxConns int         // connections that one upstream takes from all callers
	Engine   *EngineSpec // nil for a plain service
	// ColdRate is the requests a second that a cold upstream takes from all gateways
	// together; zero: as many as a warm one.
	ColdRate float64
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Batch        int // requests that run at once
	AdapterSlots int
	Models       []ModelSpec
}

// Equal reports whether two specifications say the same.
func (s EngineSpec) Equal(o EngineSpec) bool {
	return s.Batch == o.Batch && s.AdapterSlots == o.AdapterSlots && slices.Equal(s.Models, o.Models)
}

// ModelSpec describes a base model.
type ModelSpec struct {
	Name     BaseModel
	LoadTime time.Duration
}

// CallerLimits bounds what one caller may send, and how slowly.
type CallerLimits struct {
	MaxHeader     int // bytes
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ModelAdapter names an adapter of a base model. An empty adapter stands for
// the base model itself.
type ModelAdapter struct {
	Model   BaseModel `msgpack:"m"`
	Adapter AdapterID `msgpack:"a"`
}

// Member is one upstream in the platform's list.
type Member struct {
	ID       UpstreamID // of one lifetime: a restarted upstream is another member
	Service  ServiceName
	Addr     string // IP:port
	Domain   FailureDomain
	Slots    int // requests that it works on at once
	Draining bool
	GoneAt   time.Time // when it is taken away at short notice; zero: not known
	// Cold is how much longer its entry says that it takes few requests; zero: it is warm.
	Cold time.Duration
	Seen Position // of its latest entry among all entries
}

// MemberList is one reading of the platform's list of upstreams.
type MemberList struct {
	Members []Member
	Lapsed  []UpstreamID // entries that ended since the previous reading
	Change  MemberChange // since the previous reading, for other readers of the list
	Same    bool         // as at the previous reading; Members is nil
	// Returned says that the store has come back from an older copy of itself since: some
	// upstreams have to enter themselves again.
	Returned bool
}

// MemberChange is a part of the record of upstreams, as one reader tells it to
// others. Whoever has read up to From knows all up to To with it.
type MemberChange struct {
	From    Position // negative: the whole list was read; only To is told
	To      Position
	Changed []Member // without GoneAt, which is in the reader's time
	Ended   []UpstreamID
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	Upstream UpstreamID // lifetime that reports; empty if the engine does not say
	Born     int64      // its start in Unix ms; zero if the engine does not say
	Seq      uint64     // orders taken since its start
	Busy     bool       // an order on a base model is under way
	Leaving  bool       // it is about to end and is to get no new requests
	Running  int
	Queued   int
	KVUsed   int // tokens that cannot give way
	KVTotal  int // tokens
	// Limit is the requests a second that it says it takes; zero: it names none, or one
	// that can't be read.
	Limit   RequestRate
	Models  []LoadedModel
	Loading []AdapterVersion
}

// LoadedModel is a base model that an engine holds.
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

// EngineOrder tells an engine to load or unload a model or an adapter. It takes
// effect only at the named lifetime of the engine, in the expected place of its
// sequence of orders, and from the newest holder.
type EngineOrder struct {
	Unload   bool
	Target   ModelAdapter
	Version  Version // zero: the newest
	Upstream UpstreamID
	Expected uint64 // Seq of the engine before this order
	Holder   Incarnation
	Fence    Fence
}

// OrderAnswer is what became of an engine order.
type OrderAnswer uint8

const (
	// OrderTaken is under way or carried out.
	OrderTaken OrderAnswer = iota
	// OrderHolds asked for what was already so.
	OrderHolds
	// OrderConflict was refused: another is under way, or the engine's sequence
	// is not the expected one.
	OrderConflict
	// OrderStale was refused: a newer holder gave orders.
	OrderStale
	// OrderInvalid was refused for good.
	OrderInvalid
	// OrderLost has no answer: it may be carried out now, later or never.
	OrderLost
)

// String returns the name used in logs.
func (a OrderAnswer) String() string {
	switch a {
	case OrderTaken:
		return "taken"
	case OrderHolds:
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

// HeaderNames are the names of the headers of requests.
type HeaderNames struct {
	Attempt        string // id of the caller's attempt
	DeadlineMS     string // how long the sender waits, in milliseconds
	Adapter        string // model, or model/adapter
	TokenCount     string // tokens of the prompt and the most tokens out
	Prompt         string // parts of the prompt that others may share
	LastEvent      string // last event that the caller has of a stream
	ExpectInstance string // instance of the upstream that may run the request
	ExpectVersion  string // version of the weights that may run it
	Priority       string // urgency at the upstream, 0 first
	Team           string // team of the request, set by the system alone
	// Reserved are headers by which an upstream sets memory aside, moves what it
	// keeps or waits. Only the system may send them.
	Reserved []string
}

// ConfigChange is what changed in the operator's configuration.
type ConfigChange struct {
	To       Position         // up to which the source has read the record
	Table    *RouteTable      // nil: unchanged
	Versions []AdapterVersion // newest versions of weights that were named
	// Evacuated has all failure domains that are evacuated; nil: unchanged.
	Evacuated Evacuations
	// Returned says that the store has come back from an older copy of itself since the last
	// call: the operator has to write some records again.
	Returned bool
}

// Evacuations are the failure domains whose upstreams are to get no requests.
type Evacuations map[FailureDomain]bool

// ConfigSource gives the operator's configuration, in order. Calls come from
// one goroutine.
type ConfigSource interface {
	// Next waits up to wait for a change and returns what changed since the
	// last call; the first call returns everything.
	Next(wait time.Duration) (ConfigChange, error)
}

// MemberSource gives the platform's list of upstreams. Calls come from one
// goroutine.
type MemberSource interface {
	// Next reads the list as it is now. Where the whole list comes in several
	// answers, part is told between them what came so far; nil: nobody is.
	Next(part func([]Member)) (MemberList, error)
	// Take returns the list with a change that another reader has read. It
	// reports false if there is a gap between the two: the list has to be read.
	Take(c MemberChange) (MemberList, bool)
}

// FleetFacts are what gateways know of the weight store and of each other that outlives
// them.
type FleetFacts struct {
	Window   int // loads that may be under way at once; zero: not known
	Gateways int // that there are; zero: not known
}

// FleetMemory keeps these facts while no gateway runs.
type FleetMemory interface {
	// RecallFleet returns what was remembered last.
	RecallFleet() (FleetFacts, error)
	// RememberFleet replaces it.
	RememberFleet(f FleetFacts) error
}

// OrderedEngine is a model engine as the process beside it sees it.
type OrderedEngine interface {
	// Report returns the engine's state.
	Report() (EngineState, error)
	// Runs returns the ids, as callers gave them, of the requests that the engine has
	// begun and not ended. It reports false if the engine does not name them.
	Runs() (ids []string, named bool, err error)
	// Order gives an order and returns what became of it.
	Order(o EngineOrder) OrderAnswer
}

// FenceSource numbers the starts of processes.
type FenceSource interface {
	// TakeFence returns a fence that is higher than every earlier one.
	TakeFence(holder Incarnation) (Fence, error)
}
