package wardturn

import (
	"net/http"
	"time"
)

// AnswerHead is what the head of an upstream's answer says, decoded from the wire once.
type AnswerHead struct {
	Attempt     string // id of the request that it answers
	Instance    string // of the upstream that answers; empty: it does not say
	Receipt     bool   // proof that the answer is the upstream's own
	NotExecuted bool   // the request did not run and will not
	Leaving     bool   // the upstream is about to end and is to get no new requests
	// Limit is the requests a second that an upstream in need takes from all gateways
	// together, for as long as its answers say so.
	Limit Figure[RequestRate]
	Cold  Figure[time.Duration] // how much longer it takes few requests
	// Rest is for how long an upstream that turned the request away wants no other from
	// this gateway.
	Rest Figure[time.Duration]
	// Unread are the names of headers that have no field here.
	Unread []string
}

// Figure is a value that an answer may name.
type Figure[T any] struct {
	Value T
	Named bool
	Err   error // the value can't be read
}

// AnswerReader decodes the heads of upstreams' answers.
type AnswerReader interface {
	// ReadAnswer decodes the head of an answer with a status.
	ReadAnswer(status int, h http.Header) AnswerHead
}
