package policy

import (
	"math"
	"time"

	"wardturn"
)

// Names of the built-in policies.
const (
	NameDefault     = "builtin:default"
	NameLRU         = "builtin:lru"
	NameAffinity    = "builtin:affinity"
	NameClairvoyant = "builtin:clairvoyant"
)

const (
	// rateWeight is the weight of a predicted rate of one request per second. The
	// unit of all weights is one waiting interactive request.
	rateWeight = 4.0
	// ageWeight is the weight of each second that the oldest interactive request
	// has waited.
	ageWeight = 0.05
	// batchWeight is the weight of a waiting batch request.
	batchWeight = 0.01
	// maxBatchValue is the maximum total weight of all waiting batch requests of an adapter.
	maxBatchValue = 0.1
	// defaultHold is how long the default policy lets batch requests wait.
	defaultHold = 30 * time.Minute
	// minFullBatches is how many full engine batches of batch requests have to wait
	// before the default policy starts to run them.
	minFullBatches = 6
)

// Default is the policy that is used until an operator publishes another. The value of
// an adapter grows with its predicted request rate, with the number of its waiting
// requests, and with the age of the oldest of them. Batch requests are held until there
// are enough of them to run the engine with full batches.
type Default struct{}

// Name implements wardturn.Policy.
func (Default) Name() string {
	return NameDefault
}

// Slot implements wardturn.Policy.
func (Default) Slot(in wardturn.SlotInput) float64 {
	v := rateWeight * in.Rate
	if in.Waiting > 0 {
		v += float64(in.Waiting) + ageWeight*in.OldestWaiting.Seconds()
	}
	return v + min(batchWeight*float64(in.BatchWaiting), maxBatchValue)
}

// Hold implements wardturn.Policy.
func (Default) Hold(in wardturn.QueueInput) time.Duration {
	if in.BatchRunning > 0 || in.BatchQueued >= minFullBatches*in.BatchSize {
		return 0
	}
	return defaultHold
}

// Order implements wardturn.Policy.
func (Default) Order(wardturn.QueueInput) float64 {
	return 0
}

// lru evicts the least recently used adapter and loads adapters in order of arrival. It
// never holds batch requests.
type lru struct {
	name string
}

// NewLRU returns the baseline that combines least-loaded routing with LRU eviction of
// adapters.
func NewLRU() wardturn.Policy {
	return lru{
		name: NameLRU,
	}
}

// NewAffinity returns the baseline that routes by adapter affinity only. It manages
// slots like NewLRU.
func NewAffinity() wardturn.Policy {
	return lru{
		name: NameAffinity,
	}
}

// Name implements wardturn.Policy.
func (p lru) Name() string {
	return p.name
}

// Slot implements wardturn.Policy. Adapters with waiting requests have higher values
// than all others, as in a plain LRU cache; among them the longest wait has the highest.
func (lru) Slot(in wardturn.SlotInput) float64 {
	if in.Waiting+in.BatchWaiting > 0 {
		return 1 + max(in.OldestWaiting, in.OldestBatch).Seconds()
	}
	return math.Exp(-in.Idle.Seconds() / recencyScaleSeconds)
}

const recencyScaleSeconds = 3600.0

// Hold implements wardturn.Policy.
func (lru) Hold(wardturn.QueueInput) time.Duration {
	return 0
}

// Order implements wardturn.Policy.
func (lru) Order(wardturn.QueueInput) float64 {
	return 0
}
