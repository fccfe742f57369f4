package wardturn

import (
	"context"
	"time"
)

// EngineRequest is one generation that an agent asks of a model engine.
type EngineRequest struct {
	Attempt  AttemptID
	Adapter  AdapterRef
	Priority int // lower runs first
	Prompt   Tokens
	Output   Tokens
	Path     string
	Body     []byte
}

// EngineResult is what an engine says about a finished generation.
type EngineResult struct {
	Adapter AdapterRef // the adapter version that really ran
	Output  Tokens
}

// SlotOrder is an order to load or unload one adapter version.
type SlotOrder struct {
	ID      OrderID
	Fence   Fence
	Adapter AdapterRef
}

// ResidentAdapter is one adapter in an engine's report.
type ResidentAdapter struct {
	Adapter AdapterRef `json:"adapter"`
	Running int        `json:"running"`
}

// EngineReport is an engine's view of itself. It lags: At is the time at which
// it was true.
type EngineReport struct {
	At       time.Time         `json:"at"`
	Fence    Fence             `json:"fence"`
	Slots    int               `json:"slots"`
	Batch    int               `json:"batch"` // sequences in one step at most
	Resident []ResidentAdapter `json:"resident"`
	Loading  []AdapterRef      `json:"loading"`
}

// Engine is a model engine as its agent drives it.
type Engine interface {
	// Run generates an answer and passes each piece of it to emit, in order.
	// ErrNotStarted and ErrNotLoaded say that nothing ran; any other error
	// leaves that open. Cancelling ctx cancels the generation.
	Run(ctx context.Context, req EngineRequest, emit func([]byte) error) (EngineResult, error)
	// Load fetches an adapter version into a free slot. ErrStoreBusy,
	// ErrNoSlot and ErrFenced say that nothing was loaded; other errors leave
	// the slot uncertain.
	Load(ctx context.Context, order SlotOrder) error
	// Unload frees the slot of an adapter version. It fails with
	// ErrAdapterBusy while a request runs on it.
	Unload(ctx context.Context, order SlotOrder) error
	// Report returns the engine's own, lagging view.
	Report(ctx context.Context) (EngineReport, error)
}

// ServiceResponse is a plain service's answer.
type ServiceResponse struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// Service is a plain service as its agent drives it.
type Service interface {
	// Call passes a request through. ErrNotStarted says that it did not run;
	// any other error leaves that open.
	Call(ctx context.Context, req Request) (ServiceResponse, error)
}
