package wardturn

import "time"

// Class says whether somebody is waiting for the answer.
type Class uint8

const (
	// Interactive work has a person waiting. It is never held back.
	Interactive Class = iota
	// Batch work can wait to fill engine steps.
	Batch
)

// String returns the name used in headers, traces and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// ParseClass reads a class by its name; the empty string is Interactive.
func ParseClass(s string) (Class, bool) {
	switch s {
	case "", "interactive":
		return Interactive, true
	case "batch":
		return Batch, true
	}
	return Interactive, false
}

// Request is what an entry host admits and an agent runs. Exactly one of
// Adapter and Service is set.
type Request struct {
	ID         RequestID
	Caller     CallerID
	Team       TeamID
	Class      Class
	Adapter    AdapterRef
	Service    ServiceName
	Prompt     Tokens
	Output     Tokens
	Deadline   time.Time // zero: none
	Repeatable bool
	Key        IdempotencyKey
	KeyCreated time.Time
	Digest     Digest
	Method     string
	Path       string
	Header     []HeaderField
	Body       []byte
}

// HeaderField is one header line that is passed through to a plain service and
// back.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}
