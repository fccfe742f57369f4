package wardturn

import "time"

// SlotInput is what a policy knows about an adapter when it scores the adapter for a slot.
type SlotInput struct {
	Adapter       AdapterID
	Rate          float64       // predicted requests per second over the next minute
	Waiting       int           // interactive requests that wait for the adapter
	OldestWaiting time.Duration // waiting time of the oldest of these
	BatchWaiting  int           // batch requests that wait for the adapter
	OldestBatch   time.Duration // waiting time of the oldest of these
	Running       int           // requests running on the adapter
	Idle          time.Duration // time since its last request
	Resident      bool          // it holds a slot
	LoadTime      time.Duration // duration of recent loads
	BatchRunning  int           // batch requests running on the upstream
}

// QueueInput is what a policy knows about a waiting request.
type QueueInput struct {
	Adapter   AdapterID
	Class     Class
	Waited    time.Duration
	TimeLeft  time.Duration // time left; zero without a deadline
	Prompt    Tokens
	Output    Tokens
	Waiting   int  // requests of its class that wait for the same adapter
	Resident  bool // the adapter is ready in a slot
	Running   int  // sequences in the engine's current batch
	BatchSize int  // maximum number of sequences in a batch

	BatchRunning int // batch requests running on the upstream
	BatchQueued  int // batch requests waiting at the upstream, for any adapter
}

// Policy decides, on behalf of the operator, which adapters get a slot and which
// requests wait. Safety rules do not depend on it: whatever it returns, interactive
// requests are not delayed and adapters with running requests are not unloaded.
type Policy interface {
	// Name identifies the policy in reports and metrics.
	Name() string
	// Slot returns a score for loading an adapter into a slot or keeping it there.
	// Adapters with higher scores stay.
	Slot(in SlotInput) float64
	// Hold returns how long a batch request may be delayed to fill a batch.
	Hold(in QueueInput) time.Duration
	// Order returns the rank of a request in its queue. Lower ranks run first.
	Order(in QueueInput) float64
}
