package wardturn

import "time"

// Class is the urgency class of a request.
type Class uint8

const (
	// Interactive requests have a person waiting for the response. They are never
	// delayed to fill a batch.
	Interactive Class = iota
	// Batch requests can be delayed to fill the engine's batches.
	Batch
)

// String returns the name used in headers, traces and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// ParseClass returns the class with a name; the empty string is Interactive.
func ParseClass(s string) (Class, bool) {
	switch s {
	case "", "interactive":
		return Interactive, true
	case "batch":
		return Batch, true
	}
	return Interactive, false
}

// Request is a request that an entry host admits and an agent runs. Exactly one of
// Adapter and Service is set.
type Request struct {
	ID         RequestID
	Caller     CallerID
	Team       TeamID
	Class      Class
	Adapter    AdapterRef
	Service    ServiceName
	Prompt     Tokens    // estimated length of the prompt
	Output     Tokens    // maximum length of the response
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

// HeaderField is a header field that is passed through to or from a plain service.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}
