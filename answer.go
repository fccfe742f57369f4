package wardturn

import (
	"net/http"
	"time"
)

// AnswerHead is the decoded head, status and headers, of an upstream's response.
type AnswerHead struct {
	Attempt     string // ID of the attempt that it responds to
	Instance    string // of the upstream that responded; empty if the response does not name it
	Receipt     bool   // the response has the receipt that proves that the upstream itself produced it
	NotExecuted bool   // the request was not executed and will not be
	Leaving     bool   // the upstream is about to shut down and must get no new requests
	// Limit is the number of requests per second that an overloaded upstream accepts from
	// all gateways together. It applies while the upstream's responses carry it.
	Limit Figure[RequestRate]
	Cold  Figure[time.Duration] // how much longer the upstream is cold and accepts few requests
	// Rest is how long an upstream that refused the request wants this gateway to send it
	// no other.
	Rest Figure[time.Duration]
	// Unread are the names of the headers that have no field in this type.
	Unread []string
}

// Figure is an optional value in the head of a response.
type Figure[T any] struct {
	Value T
	Named bool  // the response carries the value
	Err   error // the value could not be parsed
}

// AnswerReader decodes the heads of upstreams' responses.
type AnswerReader interface {
	// ReadAnswer decodes the head of a response from its status and headers.
	ReadAnswer(status int, h http.Header) AnswerHead
}
