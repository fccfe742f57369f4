package wardturn

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Clock is the source of time. Everything that waits or measures takes one, so
// that tests and experiments run in virtual time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls f once after d, unless the timer is stopped first. The
	// call comes from another goroutine than the caller's.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call of Clock.AfterFunc.
type Timer interface {
	// Stop prevents the call and reports whether it did.
	Stop() bool
}

var (
	// ErrUnavailable is returned by a Log, HostList or Store that cannot be
	// reached or refuses for now. Nothing was done.
	ErrUnavailable = errors.New("wardturn: platform service unavailable")
	// ErrReplyLost is returned when an action may have taken effect although
	// its reply never came.
	ErrReplyLost = errors.New("wardturn: reply lost")
	// ErrOutOfRetention is returned by Log.Read for records that the log has
	// already dropped. The reader has to start from LogPage.First.
	ErrOutOfRetention = errors.New("wardturn: records out of retention")
	// ErrStoreBusy is returned by a Store, and through it by Engine.Load, when
	// the store's rate is used up.
	ErrStoreBusy = errors.New("wardturn: weight store busy")
	// ErrFenced is returned by an upstream that has seen a higher fence.
	ErrFenced = errors.New("wardturn: order fenced off")
	// ErrAdapterBusy is returned for an order to unload an adapter that is
	// serving a request.
	ErrAdapterBusy = errors.New("wardturn: adapter is serving a request")
	// ErrNoSlot is returned for an order to load into an engine without a free
	// slot.
	ErrNoSlot = errors.New("wardturn: no free adapter slot")
	// ErrNotLoaded is returned by an engine for a request whose adapter version
	// it does not hold. The request did not run.
	ErrNotLoaded = errors.New("wardturn: adapter version not loaded")
	// ErrNotStarted is returned by an upstream driver when no byte of the
	// request was taken by the upstream.
	ErrNotStarted = errors.New("wardturn: upstream did not start the request")
)

// LogRecord is one record of the platform's log.
type LogRecord struct {
	Offset Offset    `msgpack:"o"`
	Time   time.Time `msgpack:"t"`
	Data   []byte    `msgpack:"d"`
}

// LogPage is the answer to one read of the log.
type LogPage struct {
	First   Offset      `msgpack:"f"` // oldest record still retained
	Next    Offset      `msgpack:"n"` // offset the next append will get
	Records []LogRecord `msgpack:"r"`
}

// Log is the platform's append-only log. Its order settles every race.
type Log interface {
	// Append adds one record. With ErrReplyLost the record may or may not have
	// been added; with ErrUnavailable it was not.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit records from the offset on. It waits for the
	// first of them for up to wait, and returns an empty page after that.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (LogPage, error)
}

// HostState is what the platform knows about a host.
type HostState uint8

const (
	// HostLive takes new work.
	HostLive HostState = iota
	// HostLeaving takes no new work and will be gone.
	HostLeaving
)

// Host is one line of the platform's list of hosts.
type Host struct {
	Upstream UpstreamID    `msgpack:"u" json:"upstream"`
	Addr     string        `msgpack:"a" json:"addr"` // agent's IP:port
	Region   Region        `msgpack:"r" json:"region"`
	Domain   FailureDomain `msgpack:"d" json:"failure_domain"`
	Model    BaseModel     `msgpack:"m,omitempty" json:"base_model,omitempty"`
	Service  ServiceName   `msgpack:"s,omitempty" json:"service,omitempty"`
	State    HostState     `msgpack:"st" json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	// Hosts returns the list as the platform knows it now.
	Hosts(ctx context.Context) ([]Host, error)
}

// Store is the rate-limited store of adapter weights, as an engine uses it.
type Store interface {
	// Fetch reads the weights and calls done once, with nil, ErrStoreBusy or
	// ErrUnavailable.
	Fetch(ref AdapterRef, done func(error))
}
