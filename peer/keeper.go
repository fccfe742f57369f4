package peer

import (
	"time"

	"wardturn"
	"wardturn/decide"
)

// The messages between the gateway on an entry host and the keeper on the host of an engine.
// The gateway sends requests to engines directly. These messages control which adapters an
// engine holds and exchange state between gateways.

// HeldState is the state of an adapter on an engine.
type HeldState uint8

const (
	// HeldReady is an adapter that serves requests.
	HeldReady HeldState = iota
	// HeldLoading is an adapter that is being loaded.
	HeldLoading
	// HeldUnloading is an adapter that is about to be unloaded or replaced. It gets no
	// new requests.
	HeldUnloading
)

// HeldAdapter is an adapter that an engine holds or loads.
type HeldAdapter struct {
	Adapter wardturn.AdapterVersion
	State   HeldState
}

// EngineUpdate is a keeper's state update on its engine: the adapters that the engine
// holds and its load. The first update that a subscriber gets is the full state; the
// following ones contain the changes since the previous one.
type EngineUpdate struct {
	// Seq numbers the changes since the keeper's start. A full state has the number
	// of the latest change that it includes.
	Seq  uint64
	Full bool
	// Requested means that the update has only an adapter that the gateway requested. Earlier
	// changes may be missing.
	Requested     bool
	Known         bool // the keeper has a report of the engine
	Upstream      wardturn.UpstreamID
	Models        []wardturn.BaseModel
	Adapters      []HeldAdapter           // all if full, otherwise the new and changed ones
	Unloaded      []wardturn.ModelAdapter // no longer held; empty if full
	Running       int
	Queued        int
	PrefillTokens int // tokens of long prompts in prefill, as reported by gateways
	FreeSlots     int // free adapter slots, counted up to decide.MaxFreeSlots
	Gateways      int // number of gateways connected to the keeper
	// Limit is the limit on requests per second that the engine announced; zero means
	// none.
	Limit   wardturn.RequestRate
	Leaving bool // the engine announced that it is shutting down
}

// EngineConfig passes the operator's configuration of an engine to its keeper,
// together with what the gateway wants to receive on this connection.
type EngineConfig struct {
	Config   int64 // version of the configuration
	Upstream wardturn.UpstreamID
	// Position is that of the upstream's entry in the list; it is higher for later lifetimes.
	Position wardturn.Position
	Spec     wardturn.EngineSpec
	// ViaRelay means that a relay sends the updates to the gateway. The keeper sends it only
	// the adapters that it requests.
	ViaRelay      bool
	Announcements bool // send the announcements of other gateways to this gateway
}

// Subscribe subscribes to a keeper's state updates.
type Subscribe struct{}

// Follow asks a keeper to start or stop relaying the state updates of another keeper.
// The reply to each request to start is the full state, as soon as the relay has it.
type Follow struct {
	Keeper string // address, IP:port
	Stop   bool
}

// RelayedUpdate is a relayed state update of another keeper.
type RelayedUpdate struct {
	Keeper  string               // address, IP:port
	Process wardturn.Incarnation // of that keeper
	Lost    bool                 // the relay lost its connection to the keeper; there is no update
	Update  EngineUpdate
}

// Mark gives a gateway the sequence number of a keeper's latest state update, so that
// it detects a relay that lags.
type Mark struct {
	Seq uint64
}

// LoadRequest is a gateway's load request: it asks a keeper to load an adapter. It is
// repeated while requests wait, and expires if it is not repeated.
type LoadRequest struct {
	Adapter    wardturn.AdapterVersion // version zero: the newest
	Waiting    int                     // number of waiting requests
	OldestWait time.Duration           // how long the oldest of them has waited
}

// UrgentLoadRequest is a LoadRequest with the urgency of the waiting requests.
type UrgentLoadRequest struct {
	Adapter    wardturn.AdapterVersion // version zero: the newest
	Waiting    int                     // number of waiting requests
	OldestWait time.Duration           // how long the oldest of them has waited
	Weight     float64                 // waiting requests, weighted by rank
	// LateIn is the time until the latest objective of the waiting requests ends; negative:
	// all are late.
	LateIn time.Duration
}

// ConfigAnnouncement passes on the records of the operator's configuration that a gateway
// has read, so that gateways that cannot read the store can apply them. It travels in the
// same way as ReadAnnouncement.
type ConfigAnnouncement struct {
	Reader wardturn.Incarnation
	ReadAt time.Duration     // time of the read by the reader's own clock
	From   wardturn.Position // the records are those after it
	To     wardturn.Position // up to which the reader has read
	// Records are the records in the encoding of the reader's platform adapter.
	Records []byte
}

// Kind implements Message.
func (*UrgentLoadRequest) Kind() Kind { return KindUrgentLoadRequest }

// Kind implements Message.
func (*ConfigAnnouncement) Kind() Kind { return KindConfigAnnouncement }

// ReadAnnouncement announces that a gateway has read a topic of the platform's store, so
// that the others need not read it. A gateway sends it to two keepers in each
// failure domain, which forward it to the gateways that receive announcements there.
type ReadAnnouncement struct {
	Reader  wardturn.Incarnation
	ReadAt  time.Duration          // time of the read by the reader's own clock
	Config  wardturn.Position      // up to which the configuration was read; zero: it was not
	Members *wardturn.MemberChange // nil: the list of upstreams was not read
	Crashes *CrashRead             // latest read of the crash records; nil: none, or not included
}

// CrashRead says up to which position and how long ago a gateway last read the
// crash records of the store, or received the announcement of another gateway's read.
type CrashRead struct {
	To  wardturn.Position
	Age time.Duration // since the read
}

// CrashAnnouncement announces contents whose requests were running when upstreams crashed,
// contents that were later answered successfully, and changes read from the crash
// records of the store. It is forwarded in the same way as ReadAnnouncement.
type CrashAnnouncement struct {
	Crashes []wardturn.Crash
	Cleared []wardturn.ContentID
	Change  *wardturn.CrashChange // nil: nothing new was read
}

// PartAnnouncement announces parts of prompts whose requests had no answer yet when
// upstreams crashed, parts whose answers began since, and parts of which a request is sent as
// a trial although they are refused. Parts are identified by wardturn.PromptPartID. It is
// forwarded in the same way as ReadAnnouncement.
type PartAnnouncement struct {
	Crashes []wardturn.Crash
	Cleared []wardturn.ContentID
	Trials  []wardturn.ContentID
}

// PrefillReport reports to a keeper how many tokens of a gateway's long prompts are in
// prefill at its engine.
type PrefillReport struct {
	Tokens int
}

// StartedQuery asks a keeper which of the given requests its engine has started.
type StartedQuery struct {
	IDs []string // as given by the callers
}

// StartedReport is the reply to StartedQuery: the requests that have started. The
// state of the others is unknown: the keeper may have missed their start, or they
// may have ended.
type StartedReport struct {
	Upstream wardturn.UpstreamID
	IDs      []string
}

// AdapterUse counts a gateway's requests to one adapter of an engine.
type AdapterUse struct {
	Adapter wardturn.ModelAdapter
	Started int // since the previous message
	Running int // now
}

// AdapterUsage reports to a keeper which adapters a gateway uses.
type AdapterUsage struct {
	Uses []AdapterUse
}

// TeamUsageReports is gossip between gateways on how much each has used of the teams' usage
// caps. A gateway sends its report to one keeper in each failure domain, which combines the
// reports of several gateways in one message to those that receive announcements there.
type TeamUsageReports struct {
	Reports []decide.TeamUsageReport
}

// LimitGossip is gossip between gateways on the rate limits that upstreams announce. It is
// forwarded in the same way as TeamUsageReports.
type LimitGossip struct {
	Messages []decide.LimitGossip
}

// PlainLoadReports is gossip between gateways on the load that each puts on plain services.
// It is forwarded in the same way as TeamUsageReports.
type PlainLoadReports struct {
	Reports []decide.PlainLoadReport
}

// Kind implements Message.
func (*PlainLoadReports) Kind() Kind { return KindPlainLoadReports }

// Kind implements Message.
func (*LimitGossip) Kind() Kind { return KindLimitGossip }

// Kind implements Message.
func (*TeamUsageReports) Kind() Kind { return KindTeamUsageReports }

// Kind implements Message.
func (*StartedQuery) Kind() Kind { return KindStartedQuery }

// Kind implements Message.
func (*StartedReport) Kind() Kind { return KindStartedReport }

// Kind implements Message.
func (*EngineUpdate) Kind() Kind { return KindEngineUpdate }

// Kind implements Message.
func (*EngineConfig) Kind() Kind { return KindEngineConfig }

// Kind implements Message.
func (*LoadRequest) Kind() Kind { return KindLoadRequest }

// Kind implements Message.
func (*ReadAnnouncement) Kind() Kind { return KindReadAnnouncement }

// Kind implements Message.
func (*CrashAnnouncement) Kind() Kind { return KindCrashAnnouncement }

// Kind implements Message.
func (*PartAnnouncement) Kind() Kind { return KindPartAnnouncement }

// Kind implements Message.
func (*PrefillReport) Kind() Kind { return KindPrefillReport }

// Kind implements Message.
func (*AdapterUsage) Kind() Kind { return KindAdapterUsage }

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }

// Kind implements Message.
func (*Follow) Kind() Kind { return KindFollow }

// Kind implements Message.
func (*RelayedUpdate) Kind() Kind { return KindRelayedUpdate }

// Kind implements Message.
func (*Mark) Kind() Kind { return KindMark }
