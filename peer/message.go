package peer

import (
	"time"

	"wardturn"
	"wardturn/decide"
)

// Protocol is the version of the protocol. Processes of different versions
// refuse each other at Hello.
const Protocol = 8

// Kind names the type of a message in its frame.
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
	KindWish
	KindGrant
	KindPing
	KindPong
	KindConfigPull
	KindConfigPage
	KindHolding
	KindEngineNotice
	KindLoadWish
	KindUsage
	KindStoreNews
	KindReading
	KindListen
	KindFollow
	KindRelayed
	KindMark
	KindTeamUse
	KindCrashNews
	KindStartedQuery
	KindStartedReport
	KindLimitNews
)

// Message is one typed message.
type Message interface {
	// Kind returns the message's kind.
	Kind() Kind
}

// Role says what a process is.
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
	Host     string              // name of the process's host; may be empty
	Upstream wardturn.UpstreamID // of an agent
	Config   wardturn.Offset     // newest configuration applied
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
	Left       time.Duration // until the deadline; zero without one
	Repeatable bool
	Key        wardturn.IdempotencyKey
	KeyCreated time.Time
	Digest     wardturn.Digest
	Method     string
	Path       string
	Header     []wardturn.HeaderField
	Body       []byte
	Supersedes wardturn.AttemptID // claimed the key and is known not to have run
	Config     wardturn.Offset    // that the entry decided by
	Credit     int64              // bytes of the answer that may be sent
	Newest     bool               // the caller named no version: it asked for the one in force
}

// Attach asks for an attempt again after a lost connection. With Follow it asks
// for the answer of an attempt that another request started.
type Attach struct {
	Attempt wardturn.AttemptID
	Process wardturn.Incarnation // of the agent that the attempt was sent to
	Follow  bool
	From    int64 // offset of the first byte still missing
	Credit  int64
}

// Head starts an answer: the attempt is running.
type Head struct {
	Attempt wardturn.AttemptID
	Status  int // of a plain service; zero for an engine
	Header  []wardturn.HeaderField
	Stalled time.Duration // that the attempt waited for its adapter
	Queued  time.Duration // that the attempt waited altogether
}

// Chunk is a piece of an answer.
type Chunk struct {
	Attempt wardturn.AttemptID
	Offset  int64
	Data    []byte
}

// End is the outcome of an attempt. With Done, Length is the whole answer's.
type End struct {
	Attempt wardturn.AttemptID
	Outcome wardturn.Outcome
	Length  int64
	Hint    decide.Hint
	// First names the attempt that holds the answer for an idempotency key that
	// was claimed before, and the upstream that knows it.
	First         wardturn.AttemptID
	FirstUpstream wardturn.UpstreamID
	FirstProcess  wardturn.Incarnation
	// Config, if set, is the configuration that put another version in force than
	// the attempt was for, which named none: it did not run.
	Config wardturn.Offset
}

// Credit allows an agent to send an answer up to an offset.
type Credit struct {
	Attempt wardturn.AttemptID
	Upto    int64
}

// Cancel says that nobody waits for an attempt any more.
type Cancel struct {
	Attempt wardturn.AttemptID
}

// Hint is an agent's load, sent when it changed much and with each Pong.
type Hint struct {
	Upstream wardturn.UpstreamID
	Hint     decide.Hint
}

// Wish carries an agent's wish to its allocator.
type Wish struct {
	Wish decide.Wish
}

// Grant carries an allocator's answer.
type Grant struct {
	Grant decide.Grant
}

// Ping asks for a Pong. Both carry the newest configuration applied, so that
// whoever is behind notices.
type Ping struct {
	Seq    uint64
	Config wardturn.Offset
}

// Pong answers a Ping.
type Pong struct {
	Seq    uint64
	Config wardturn.Offset
}

// ConfigPull asks a peer for its configuration, in pages.
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
func (*Wish) Kind() Kind { return KindWish }

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
	case KindWish:
		return &Wish{}
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
	case KindHolding:
		return &Holding{}
	case KindEngineNotice:
		return &EngineNotice{}
	case KindLoadWish:
		return &LoadWish{}
	case KindUsage:
		return &Usage{}
	case KindReading:
		return &Reading{}
	case KindStoreNews:
		return &StoreNews{}
	case KindListen:
		return &Listen{}
	case KindFollow:
		return &Follow{}
	case KindRelayed:
		return &Relayed{}
	case KindMark:
		return &Mark{}
	case KindTeamUse:
		return &TeamUse{}
	case KindCrashNews:
		return &CrashNews{}
	case KindStartedQuery:
		return &StartedQuery{}
	case KindStartedReport:
		return &StartedReport{}
	case KindLimitNews:
		return &LimitNews{}
	}
	return nil
}
