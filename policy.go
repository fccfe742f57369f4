package wardturn

import "time"

// SlotInput is what a policy sees of an adapter when it values its slot.
type SlotInput struct {
	Adapter     AdapterID
	Rate        float64       // predicted requests a second, over the next minute
	Waiting     int           // interactive requests that wait for the adapter
	WaitingLong time.Duration // age of the oldest of them
	BatchWait   int           // batch requests that wait for it
	BatchLong   time.Duration // age of the oldest of them
	Running     int           // requests running on it
	Idle        time.Duration // since its last request
	Resident    bool
	LoadTime    time.Duration // recent time of a load
	BatchRuns   int           // batch requests running on the upstream
}

// QueueInput is what a policy sees of a waiting request.
type QueueInput struct {
	Adapter  AdapterID
	Class    Class
	Waited   time.Duration
	Deadline time.Duration // time left; zero without a deadline
	Prompt   Tokens
	Output   Tokens
	Waiting  int // requests of its class that wait for the same adapter
	Resident bool
	Running  int // sequences in the engine's current batch
	Batch    int // sequences that fit one step

	BatchRuns   int // batch requests running on the upstream
	BatchQueued int // batch requests waiting at the upstream, for any adapter
}

// Policy is an operator's view of which adapters deserve a slot and which
// requests wait. It never decides what must hold: whatever it returns,
// interactive work is not held and running adapters are not unloaded.
type Policy interface {
	// Name identifies the policy in reports and metrics.
	Name() string
	// Slot values keeping, or bringing, an adapter in a slot. Higher stays.
	Slot(in SlotInput) float64
	// Hold returns how long a batch request may wait to fill a batch.
	Hold(in QueueInput) time.Duration
	// Order ranks a request in its queue. Lower runs first.
	Order(in QueueInput) float64
}
