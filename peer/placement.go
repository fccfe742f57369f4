package peer

import (
	"time"

	"wardturn"
	"wardturn/decide"
)

// The messages between the gateway on an entry host and the keeper beside an
// engine. The gateway sends requests to engines itself; these messages only
// settle which adapters an engine holds.

// HeldState says whether an adapter can be used.
type HeldState uint8

const (
	// HeldReady serves requests.
	HeldReady HeldState = iota
	// HeldLoading is on its way to the engine.
	HeldLoading
	// HeldLeaving is about to be unloaded or replaced: nothing new is sent.
	HeldLeaving
)

// HeldAdapter is an adapter that an engine holds or loads.
type HeldAdapter struct {
	Adapter wardturn.AdapterVersion
	State   HeldState
}

// Holding is what an engine holds. The first one that a listener gets is full;
// later ones carry what changed since the one before.
type Holding struct {
	Seq      uint64 // counts the changes told in the keeper's lifetime; a full one has that of the latest change in it
	Full     bool
	Answer   bool // only what a gateway asked for: changes may be missing before it
	Known    bool // the keeper has a report of the engine
	Upstream wardturn.UpstreamID
	Models   []wardturn.BaseModel
	Adapters []HeldAdapter           // all if full, else new or changed ones
	Gone     []wardturn.ModelAdapter // no longer there; never in a full one
	Running  int
	Queued   int
	Reading  int // tokens of long prompts that the engine reads, as gateways say
	Free     int // places that an adapter could have at once, counted up to MaxFree
	Gateways int // connected to the keeper
	// Limit is the requests a second that the engine names; zero: none.
	Limit   wardturn.RequestRate
	Leaving bool // the engine says that it is about to end
}

// EngineNotice tells a keeper what the operator says of its engine.
type EngineNotice struct {
	Config   int64 // version of the configuration
	Upstream wardturn.UpstreamID
	Seen     wardturn.Position // of the upstream's entry in the platform's list; a later lifetime has a higher one
	Spec     wardturn.EngineSpec
	Relayed  bool // a relay tells the gateway of the holding; here it is only told what it asks for
	News     bool // the gateway hears here of what others read from the platform's store
}

// Listen asks a keeper for its holding and all changes.
type Listen struct{}

// Follow asks a keeper to relay what another keeper tells, or to end that. Each
// one is answered with the full holding as soon as the relay knows it.
type Follow struct {
	Keeper string // address, IP:port
	End    bool
}

// Relayed is what another keeper tells.
type Relayed struct {
	Keeper  string               // address, IP:port
	Process wardturn.Incarnation // of that keeper
	Lost    bool                 // the relay has lost the keeper; there is no holding
	Holding Holding
}

// Mark tells a gateway how far the changes of a holding go, so that it notices a
// relay that is behind.
type Mark struct {
	Seq uint64
}

// LoadWish asks a keeper to hold an adapter. It is repeated while requests wait
// and forgotten when it is not.
type LoadWish struct {
	Adapter wardturn.AdapterVersion // version zero: the newest
	Waiting int                     // requests that wait
	Oldest  time.Duration           // how long the oldest has waited
}

// StoreNews tells the gateways that one of them has read a record of the
// platform's store, so that the others need not. A gateway sends it to two keepers
// in each failure domain, which pass it on to the gateways that hear news there.
type StoreNews struct {
	Reader  wardturn.Incarnation
	Stamp   time.Duration          // the reader's own time of the reading
	Config  wardturn.Position      // up to which the configuration was read; zero: it was not
	Members *wardturn.MemberChange // nil: the list of upstreams was not read
	Crashes *CrashReading          // the reader's latest reading of crashes; nil: none, or not told
}

// CrashReading tells how far and when a gateway last read the store's record of crashes, or
// heard that another had.
type CrashReading struct {
	To  wardturn.Position
	Age time.Duration // of the reading
}

// CrashNews tells the gateways under which contents upstreams have ended, which were
// answered well after all, and what was read of them in the store. It takes the same way
// as StoreNews.
type CrashNews struct {
	Crashes []wardturn.Crash
	Cleared []wardturn.ContentID
	Read    *wardturn.CrashChange // nil: nothing new was read
}

// Reading tells a keeper how many tokens of a gateway's long prompts its engine
// is reading now.
type Reading struct {
	Tokens int
}

// StartedQuery asks a keeper which of some requests its engine has begun.
type StartedQuery struct {
	IDs []string // as callers gave them
}

// StartedReport answers StartedQuery: these requests have begun. Nothing is said of the others; their
// begin may have been missed, or their run may have ended.
type StartedReport struct {
	Upstream wardturn.UpstreamID
	IDs      []string
}

// AdapterUse counts a gateway's requests to one adapter of an engine.
type AdapterUse struct {
	Adapter wardturn.ModelAdapter
	Started int // since the last message
	Running int // now
}

// Usage tells a keeper which adapters are in use.
type Usage struct {
	Uses []AdapterUse
}

// TeamUse tells gateways what others have taken of teams' usage caps. A gateway sends
// its word to a keeper in each failure domain, which passes on what it got of several
// in one message to those that hear news there.
type TeamUse struct {
	Words []decide.TeamWord
}

// LimitNews tells gateways what others know of limits that upstreams name. It takes the
// same way as TeamUse.
type LimitNews struct {
	Words []decide.LimitGossip
}

// Kind implements Message.
func (*LimitNews) Kind() Kind { return KindLimitNews }

// Kind implements Message.
func (*TeamUse) Kind() Kind { return KindTeamUse }

// Kind implements Message.
func (*StartedQuery) Kind() Kind { return KindStartedQuery }

// Kind implements Message.
func (*StartedReport) Kind() Kind { return KindStartedReport }

// Kind implements Message.
func (*Holding) Kind() Kind { return KindHolding }

// Kind implements Message.
func (*EngineNotice) Kind() Kind { return KindEngineNotice }

// Kind implements Message.
func (*LoadWish) Kind() Kind { return KindLoadWish }

// Kind implements Message.
func (*StoreNews) Kind() Kind { return KindStoreNews }

// Kind implements Message.
func (*CrashNews) Kind() Kind { return KindCrashNews }

// Kind implements Message.
func (*Reading) Kind() Kind { return KindReading }

// Kind implements Message.
func (*Usage) Kind() Kind { return KindUsage }

// Kind implements Message.
func (*Listen) Kind() Kind { return KindListen }

// Kind implements Message.
func (*Follow) Kind() Kind { return KindFollow }

// Kind implements Message.
func (*Relayed) Kind() Kind { return KindRelayed }

// Kind implements Message.
func (*Mark) Kind() Kind { return KindMark }
