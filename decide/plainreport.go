package decide

import (
	"wardturn"
)

// PlainLoadReport is the report by which a gateway tells the others the load that it puts on
// plain services. A service that is missing has no load at this gateway.
type PlainLoadReport struct {
	Process    wardturn.Incarnation
	Seq        uint64 // sequence number of the report within the process
	IntervalMS uint32 // time until the next report, in milliseconds
	Services   []PlainServiceLoad
}

// PlainServiceLoad is the load of one plain service at one gateway.
type PlainServiceLoad struct {
	Service   wardturn.ServiceName
	Demand    []PlainDemand
	Upstreams []PlainUpstreamLoad
	// Refused are digests of the contents of the requests refused lately. The callers may
	// send them again to another gateway, where they can no longer be in time.
	Refused []uint32
}

// PlainDemand is the rate of requests of one class.
type PlainDemand struct {
	Class PlainClass
	Rate  float32 // offered requests per second
}

// PlainUpstreamLoad is a gateway's load at one upstream. The totals count from the start of
// the process.
type PlainUpstreamLoad struct {
	Upstream       uint32 // digest of its ID
	InFlight       int
	Responses      uint32
	ResponseTimeMS uint32 // sum over these responses, in milliseconds
	Rejections     uint32 // requests that the upstream rejected for lack of capacity
}

// PlainClass is the class of a request to a plain service. Of two classes the lower one is
// served first.
type PlainClass uint8

const (
	// plainRanks is the number of ranks that are told apart; all ranks beyond count as the
	// last one.
	plainRanks = 8
	// plainClasses is the number of classes: by rank, by whether the request may be repeated,
	// and by whether it can still be in time.
	plainClasses = 4 * plainRanks
)

// plainClassOf returns the class of a request. Requests that can still be in time come
// first, then the more urgent rank, then those that may run only once.
func plainClassOf(rank int, repeatable, late bool) PlainClass {
	c := 2 * min(max(rank, 0), plainRanks-1)
	if repeatable {
		c++
	}
	if late {
		c += 2 * plainRanks
	}
	return PlainClass(c)
}

// repeatable reports whether requests of the class may be repeated.
func (c PlainClass) repeatable() bool {
	return c%2 == 1
}
