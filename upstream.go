package wardturn

import (
	"context"
	"time"
)

// EngineRequest is a generation request from an agent to a model engine.
type EngineRequest struct {
	Attempt  AttemptID
	Adapter  AdapterRef
	Priority int // lower runs first
	Prompt   Tokens
	Output   Tokens
	Path     string
	Body     []byte
}

// EngineResult is the result of a finished generation.
type EngineResult struct {
	Adapter AdapterRef // the adapter version that was actually used
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

// EngineReport is the state of an engine as the engine reports it. It may be out of
// date: At is the time at which it was valid.
type EngineReport struct {
	At       time.Time         `json:"at"`
	Fence    Fence             `json:"fence"`
	Slots    int               `json:"slots"`
	Batch    int               `json:"batch"` // maximum number of sequences in a batch
	Resident []ResidentAdapter `json:"resident"`
	Loading  []AdapterRef      `json:"loading"`
}

// Engine is a model engine, as used by its agent.
type Engine interface {
	// Run generates a response and passes each piece of it to emit, in order.
	// ErrNotStarted and ErrNotLoaded mean that the request did not run; after any
	// other error it may have run. Canceling ctx cancels the generation.
	Run(ctx context.Context, req EngineRequest, emit func([]byte) error) (EngineResult, error)
	// Load fetches an adapter version into a free slot. ErrStoreBusy, ErrNoSlot and
	// ErrFenced mean that nothing was loaded; after any other error the state of
	// the slot is unknown.
	Load(ctx context.Context, order SlotOrder) error
	// Unload frees the slot of an adapter version. It fails with ErrAdapterBusy
	// while a request runs on the adapter.
	Unload(ctx context.Context, order SlotOrder) error
	// Report returns the engine's state, which may be out of date.
	Report(ctx context.Context) (EngineReport, error)
}

// ServiceResponse is a response of a plain service.
type ServiceResponse struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// Service is a plain service, as used by its agent.
type Service interface {
	// Call forwards a request. ErrNotStarted means that it did not run; after any
	// other error it may have run.
	Call(ctx context.Context, req Request) (ServiceResponse, error)
}
