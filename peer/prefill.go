package peer

import (
	"time"

	"wardturn"
)

// PrefillRequest asks a keeper for a turn to send a prompt to its engine.
type PrefillRequest struct {
	ID       uint64 // chosen by the gateway, unique on the connection
	Tokens   wardturn.Tokens
	Rank     int // 0 is the most urgent
	Team     wardturn.TeamID
	Waited   time.Duration // since the arrival of the request
	LateIn   time.Duration // until the end of its objective; negative: it is late already
	TimeLeft time.Duration // until its deadline
	MaxPause time.Duration // longest allowed pause of its response stream; zero: unlimited
	// Rate is the gateway's estimate of the engines' prefill rate in tokens per second, for a
	// keeper that has not measured its engine yet.
	Rate float64
}

// PrefillGrant grants turns. An empty one tells a gateway that its requests still wait.
type PrefillGrant struct {
	IDs []uint64
	// Rate is the prefill rate of the engine in tokens per second as measured by the keeper;
	// zero: not known yet.
	Rate float64
}

// PrefillDone reports that the prefill of a prompt has ended, or that its turn is not needed
// any more.
type PrefillDone struct {
	IDs []uint64
}

// Kind implements Message.
func (*PrefillRequest) Kind() Kind { return KindPrefillRequest }

// Kind implements Message.
func (*PrefillGrant) Kind() Kind { return KindPrefillGrant }

// Kind implements Message.
func (*PrefillDone) Kind() Kind { return KindPrefillDone }
