package wardturn

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Clock is a source of time. All code that waits or measures time uses one, so that
// tests and experiments can run in virtual time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls f once after d, unless the timer is stopped first. It calls
	// f from a goroutine other than the caller's.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call of Clock.AfterFunc.
type Timer interface {
	// Stop prevents the call and reports whether it did.
	Stop() bool
}

var (
	// ErrUnavailable is returned by a Log, HostList or Store that cannot be
	// reached or refuses requests at the moment. The operation had no effect.
	ErrUnavailable = errors.New("wardturn: platform service unavailable")
	// ErrReplyLost is returned when an operation may have taken effect although
	// no reply was received.
	ErrReplyLost = errors.New("wardturn: reply lost")
	// ErrOutOfRetention is returned by Log.Read for records that the log has
	// already deleted. The reader has to start from LogPage.First.
	ErrOutOfRetention = errors.New("wardturn: records out of retention")
	// ErrStoreBusy is returned by a Store, and through it by Engine.Load, when
	// the store's rate limit is reached.
	ErrStoreBusy = errors.New("wardturn: weight store busy")
	// ErrFenced is returned by an upstream for an order whose fence is lower than
	// one it has seen.
	ErrFenced = errors.New("wardturn: order has a stale fence")
	// ErrAdapterBusy is returned for an order to unload an adapter that a request
	// is running on.
	ErrAdapterBusy = errors.New("wardturn: adapter is serving a request")
	// ErrNoSlot is returned for an order to load into an engine without a free
	// slot.
	ErrNoSlot = errors.New("wardturn: no free adapter slot")
	// ErrNotLoaded is returned by an engine for a request whose adapter version
	// is not loaded. The request did not run.
	ErrNotLoaded = errors.New("wardturn: adapter version not loaded")
	// ErrNotStarted is returned by an upstream driver when the upstream accepted
	// no byte of the request.
	ErrNotStarted = errors.New("wardturn: upstream did not start the request")
)

// LogRecord is one record of the platform's log.
type LogRecord struct {
	Offset Offset    `msgpack:"o"`
	Time   time.Time `msgpack:"t"`
	Data   []byte    `msgpack:"d"`
}

// LogPage is the result of one read of the log.
type LogPage struct {
	First   Offset      `msgpack:"f"` // offset of the oldest retained record
	Next    Offset      `msgpack:"n"` // offset the next append will get
	Records []LogRecord `msgpack:"r"`
}

// Log is the platform's append-only log. The order of its records decides between
// concurrent writers.
type Log interface {
	// Append adds one record. After ErrReplyLost the record may or may not have
	// been added; after ErrUnavailable it was not.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit records, starting at an offset. If there is none yet,
	// it waits up to wait for one and then returns an empty page.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (LogPage, error)
}

// HostState is the state of a host in the platform's list.
type HostState uint8

const (
	// HostLive accepts new work.
	HostLive HostState = iota
	// HostLeaving accepts no new work and will be removed.
	HostLeaving
)

// Host is one entry of the platform's list of hosts.
type Host struct {
	Upstream UpstreamID    `msgpack:"u" json:"upstream"`
	Addr     string        `msgpack:"a" json:"addr"` // agent's IP:port
	Region   Region        `msgpack:"r" json:"region"`
	Domain   FailureDomain `msgpack:"d" json:"failure_domain"`
	Model    BaseModel     `msgpack:"m,omitempty" json:"base_model,omitempty"`
	Service  ServiceName   `msgpack:"s,omitempty" json:"service,omitempty"`
	State    HostState     `msgpack:"st" json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It is updated with a delay.
type HostList interface {
	// Hosts returns the platform's current list.
	Hosts(ctx context.Context) ([]Host, error)
}

// Store is the rate-limited store from which engines fetch adapter weights. It is not the
// platform's metadata store, which package platform reads and writes.
type Store interface {
	// Fetch reads the weights and calls done exactly once, with nil, ErrStoreBusy or
	// ErrUnavailable.
	Fetch(ref AdapterRef, done func(error))
}
