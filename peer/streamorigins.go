package peer

import (
	"time"

	"wardturn"
)

// StreamStarts tells a keeper where streams began that a caller may resume at any gateway.
type StreamStarts struct {
	Starts []StreamStart
}

// StreamStart is one stream of StreamStarts.
type StreamStart struct {
	Attempt string
	Origin  wardturn.StreamOrigin
	For     time.Duration // how long the keeper keeps it
}

// OriginQuery asks a keeper where the stream of an attempt began.
type OriginQuery struct {
	ID      uint64 // chosen by the gateway
	Attempt string
}

// OriginReply is the reply to an OriginQuery.
type OriginReply struct {
	ID     uint64
	Known  bool
	Origin wardturn.StreamOrigin
}

// SoftwareAnnouncement gives the software versions of upstreams in the ReadAnnouncement that
// follows on the same connection, whose form has no room for them.
type SoftwareAnnouncement struct {
	Upstreams []UpstreamSoftware
}

// UpstreamSoftware is the software version of one upstream.
type UpstreamSoftware struct {
	Upstream wardturn.UpstreamID
	Software wardturn.SoftwareVersion
}

// StreamRecords asks a keeper to append the origins of streams to the platform's store.
type StreamRecords struct {
	Records []wardturn.StreamRecord
}

// Kind implements Message.
func (*StreamRecords) Kind() Kind { return KindStreamRecords }

// Kind implements Message.
func (*StreamStarts) Kind() Kind { return KindStreamStarts }

// Kind implements Message.
func (*OriginQuery) Kind() Kind { return KindOriginQuery }

// Kind implements Message.
func (*OriginReply) Kind() Kind { return KindOriginReply }

// Kind implements Message.
func (*SoftwareAnnouncement) Kind() Kind { return KindSoftwareAnnouncement }
