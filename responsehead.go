package wardturn

import (
	"net/http"
	"time"
)

// ResponseHead is the decoded head, status and headers, of an upstream's response.
type ResponseHead struct {
	Attempt     string // ID of the attempt that it responds to
	Instance    string // instance name of the upstream that responded; empty if absent
	Receipt     bool   // the response has the receipt that proves that the upstream produced it
	NotExecuted bool   // the request was not executed and will not be
	Leaving     bool   // the upstream is about to shut down and must get no new requests
	// Limit is the number of requests per second that an overloaded upstream accepts from
	// all gateways together. It applies while the upstream's responses carry it.
	Limit HeaderValue[RequestRate]
	// Cold is how much longer the upstream is cold and accepts only few requests.
	Cold HeaderValue[time.Duration]
	// RetryAfter is how long an upstream that refused the request wants this gateway to
	// send it no other.
	RetryAfter HeaderValue[time.Duration]
	// Unknown are the names of the headers that have no field in this type.
	Unknown []string
}

// HeaderValue is an optional value in the head of a response.
type HeaderValue[T any] struct {
	Value   T
	Present bool  // the response carries the value
	Err     error // the value could not be parsed
}

// ResponseReader decodes the heads of upstreams' responses.
type ResponseReader interface {
	// ReadResponse decodes the head of a response from its status and headers.
	ReadResponse(status int, h http.Header) ResponseHead
}
