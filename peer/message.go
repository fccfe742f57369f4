package peer

import (
	"time"

	"wardturn"
	"wardturn/decide"
)

// Protocol is the version of the protocol. Processes with different versions
// reject each other's Hello.
const Protocol = 8

// Kind identifies the type of a message in its frame.
type Kind uint8

// The kinds of messages.
const (
	KindHello Kind = iota + 1
	KindSubmit
	KindAttach
	KindHead
	KindChunk
	KindEnd
	KindCredit
	KindCancel
	KindHint
	KindPermitRequest
	KindGrant
	KindPing
	KindPong
	KindConfigPull
	KindConfigPage
	KindEngineUpdate
	KindEngineConfig
	KindLoadRequest
	KindAdapterUsage
	KindReadAnnouncement
	KindPrefillReport
	KindSubscribe
	KindFollow
	KindRelayedUpdate
	KindMark
	KindTeamUsageReports
	KindCrashAnnouncement
	KindStartedQuery
	KindStartedReport
	KindLimitGossip
	KindPrefillRequest
	KindPrefillGrant
	KindPrefillDone
	KindPlainLoadReports
	KindUrgentLoadRequest
	KindConfigAnnouncement
	KindStreamStarts
	KindOriginQuery
	KindOriginReply
	KindSoftwareAnnouncement
	KindPartAnnouncement
	KindStreamRecords
	KindEngineSizes
)

// Message is a typed message.
type Message interface {
	Kind() Kind
}

// Role is the role of a process in the protocol: RoleEntry of entries and gateways, RoleAgent
// of agents and keepers.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello is the first message in both directions.
type Hello struct {
	Protocol int
	Role     Role
	Process  wardturn.Incarnation
	Host     string              // host name of the process, may be empty; with features, see hostField
	Upstream wardturn.UpstreamID // set by agents
	Config   wardturn.Offset     // latest configuration applied
}

// Submit asks an agent to run an attempt.
type Submit struct {
	Attempt    wardturn.AttemptID
	Request    wardturn.RequestID
	Caller     wardturn.CallerID
	Team       wardturn.TeamID
	Class      wardturn.Class
	Adapter    wardturn.AdapterRef
	Service    wardturn.ServiceName
	Prompt     wardturn.Tokens
	Output     wardturn.Tokens
	TimeLeft   time.Duration // until the deadline; zero if there is none
	Repeatable bool
	Key        wardturn.IdempotencyKey
	KeyCreated time.Time
	Digest     wardturn.Digest
	Method     string
	Path       string
	Header     []wardturn.HeaderField
	Body       []byte
	Supersedes wardturn.AttemptID // earlier attempt that claimed the key and did not run
	Config     wardturn.Offset    // configuration that the entry's decision is based on
	Credit     int64              // bytes of the response that may be sent
	Newest     bool               // the caller gave no version and gets the one in force
}

// Attach resumes an attempt after the loss of a connection. With Follow it
// requests the response of an attempt that another request started.
type Attach struct {
	Attempt wardturn.AttemptID
	Process wardturn.Incarnation // agent process that the attempt was sent to
	Follow  bool
	From    int64 // offset of the first byte not yet received
	Credit  int64
}

// Head starts a response: the attempt is running.
type Head struct {
	Attempt     wardturn.AttemptID
	Status      int // of a plain service; zero for an engine
	Header      []wardturn.HeaderField
	AdapterWait time.Duration // time that the attempt waited for its adapter
	TotalWait   time.Duration // total time that the attempt waited
}

// Chunk is a part of a response.
type Chunk struct {
	Attempt wardturn.AttemptID
	Offset  int64
	Data    []byte
}

// End is the outcome of an attempt. If the outcome is Done, Length is the length
// of the complete response.
type End struct {
	Attempt wardturn.AttemptID
	Outcome wardturn.Outcome
	Length  int64
	Hint    decide.Hint
	// FirstAttempt is the attempt that holds the response for an idempotency key that
	// was already claimed. FirstUpstream and FirstProcess are the upstream and
	// the agent process that have it.
	FirstAttempt  wardturn.AttemptID
	FirstUpstream wardturn.UpstreamID
	FirstProcess  wardturn.Incarnation
	// Config, if set, is the configuration that put another version in force than
	// the one the attempt was for. The caller had given no version, so the attempt
	// did not run.
	Config wardturn.Offset
}

// Credit allows an agent to send a response up to an offset.
type Credit struct {
	Attempt wardturn.AttemptID
	Upto    int64
}

// Cancel tells an agent that the response of an attempt is no longer needed.
type Cancel struct {
	Attempt wardturn.AttemptID
}

// Hint is an agent's load, sent after large changes and with each Pong.
type Hint struct {
	Upstream wardturn.UpstreamID
	Hint     decide.Hint
}

// PermitRequest is an agent's permit request to its allocator.
type PermitRequest struct {
	Request decide.PermitRequest
}

// Grant is an allocator's reply to a permit request.
type Grant struct {
	Grant decide.Grant
}

// Ping requests a Pong. Both carry the latest configuration applied, so that a
// process with an older configuration notices.
type Ping struct {
	Seq    uint64
	Config wardturn.Offset
}

// Pong is the reply to a Ping.
type Pong struct {
	Seq    uint64
	Config wardturn.Offset
}

// ConfigPull requests a page of a peer's configuration.
type ConfigPull struct {
	Page int
}

// ConfigPage is one page of a peer's configuration, encoded by package control.
type ConfigPage struct {
	Page   int
	Pages  int
	Config wardturn.Offset
	Data   []byte
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Submit) Kind() Kind { return KindSubmit }

// Kind implements Message.
func (*Attach) Kind() Kind { return KindAttach }

// Kind implements Message.
func (*Head) Kind() Kind { return KindHead }

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (*End) Kind() Kind { return KindEnd }

// Kind implements Message.
func (*Credit) Kind() Kind { return KindCredit }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Hint) Kind() Kind { return KindHint }

// Kind implements Message.
func (*PermitRequest) Kind() Kind { return KindPermitRequest }

// Kind implements Message.
func (*Grant) Kind() Kind { return KindGrant }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }

// Kind implements Message.
func (*ConfigPull) Kind() Kind { return KindConfigPull }

// Kind implements Message.
func (*ConfigPage) Kind() Kind { return KindConfigPage }

// newMessage returns an empty message of a kind, or nil for an unknown kind.
func newMessage(k Kind) Message {
	switch k {
	case KindHello:
		return &Hello{}
	case KindSubmit:
		return &Submit{}
	case KindAttach:
		return &Attach{}
	case KindHead:
		return &Head{}
	case KindChunk:
		return &Chunk{}
	case KindEnd:
		return &End{}
	case KindCredit:
		return &Credit{}
	case KindCancel:
		return &Cancel{}
	case KindHint:
		return &Hint{}
	case KindPermitRequest:
		return &PermitRequest{}
	case KindGrant:
		return &Grant{}
	case KindPing:
		return &Ping{}
	case KindPong:
		return &Pong{}
	case KindConfigPull:
		return &ConfigPull{}
	case KindConfigPage:
		return &ConfigPage{}
	case KindEngineUpdate:
		return &EngineUpdate{}
	case KindEngineConfig:
		return &EngineConfig{}
	case KindLoadRequest:
		return &LoadRequest{}
	case KindAdapterUsage:
		return &AdapterUsage{}
	case KindPrefillReport:
		return &PrefillReport{}
	case KindReadAnnouncement:
		return &ReadAnnouncement{}
	case KindSubscribe:
		return &Subscribe{}
	case KindFollow:
		return &Follow{}
	case KindRelayedUpdate:
		return &RelayedUpdate{}
	case KindMark:
		return &Mark{}
	case KindTeamUsageReports:
		return &TeamUsageReports{}
	case KindCrashAnnouncement:
		return &CrashAnnouncement{}
	case KindPartAnnouncement:
		return &PartAnnouncement{}
	case KindStreamRecords:
		return &StreamRecords{}
	case KindEngineSizes:
		return &EngineSizes{}
	case KindStartedQuery:
		return &StartedQuery{}
	case KindStartedReport:
		return &StartedReport{}
	case KindLimitGossip:
		return &LimitGossip{}
	case KindPrefillRequest:
		return &PrefillRequest{}
	case KindPrefillGrant:
		return &PrefillGrant{}
	case KindPrefillDone:
		return &PrefillDone{}
	case KindPlainLoadReports:
		return &PlainLoadReports{}
	case KindUrgentLoadRequest:
		return &UrgentLoadRequest{}
	case KindConfigAnnouncement:
		return &ConfigAnnouncement{}
	case KindStreamStarts:
		return &StreamStarts{}
	case KindOriginQuery:
		return &OriginQuery{}
	case KindOriginReply:
		return &OriginReply{}
	case KindSoftwareAnnouncement:
		return &SoftwareAnnouncement{}
	}
	return nil
}
