package policy

import (
	"math"
	"time"

	"wardturn"
)

// The names of the built-in policies.
const (
	NameDefault     = "builtin:default"
	NameLRU         = "builtin:lru"
	NameAffinity    = "builtin:affinity"
	NameClairvoyant = "builtin:clairvoyant"
)

const (
	// rateWeight is what one request a second is worth, in waiting requests.
	rateWeight = 4.0
	// ageWeight is what a second of waiting adds to an adapter's value, in
	// waiting requests.
	ageWeight = 0.05
	// batchWeight is what a waiting batch request is worth, in waiting
	// interactive requests.
	batchWeight = 0.01
	// batchLimit bounds what waiting batch requests add to an adapter's value.
	batchLimit = 0.1
	// defaultHold bounds how long the default policy lets batch work wait.
	defaultHold = 30 * time.Minute
	// batchRun is the number of waiting batch requests, in engine steps full of
	// them, that start a run.
	batchRun = 6
)

// Default is the policy in force until an operator publishes another. It keeps
// the adapters of the highest predicted rate, loads for the most waiting
// requests, lets waiting grow in value with age, and holds batch work until an
// engine has enough of it to fill its steps.
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
	return v + min(batchWeight*float64(in.BatchWaiting), batchLimit)
}

// Hold implements wardturn.Policy.
func (Default) Hold(in wardturn.QueueInput) time.Duration {
	if in.BatchRunning > 0 || in.BatchQueued >= batchRun*in.BatchSize {
		return 0
	}
	return defaultHold
}

// Order implements wardturn.Policy.
func (Default) Order(wardturn.QueueInput) float64 {
	return 0
}

// lru values residents by recency and loads in order of arrival. It never
// holds.
type lru struct {
	name string
}

// NewLRU returns the baseline for least-loaded routing with least recently used
// slots.
func NewLRU() wardturn.Policy {
	return lru{
		name: NameLRU,
	}
}

// NewAffinity returns the baseline for plain adapter affinity, which manages
// its slots as NewLRU does.
func NewAffinity() wardturn.Policy {
	return lru{
		name: NameAffinity,
	}
}

// Name implements wardturn.Policy.
func (p lru) Name() string {
	return p.name
}

// Slot implements wardturn.Policy. Anything that waits beats anything idle, as
// in a plain cache; the longest wait goes first.
func (lru) Slot(in wardturn.SlotInput) float64 {
	if in.Waiting+in.BatchWaiting > 0 {
		return 1 + max(in.OldestWaiting, in.OldestBatch).Seconds()
	}
	return math.Exp(-in.Idle.Seconds() / recencyScale)
}

const recencyScale = 3600.0

// Hold implements wardturn.Policy.
func (lru) Hold(wardturn.QueueInput) time.Duration {
	return 0
}

// Order implements wardturn.Policy.
func (lru) Order(wardturn.QueueInput) float64 {
	return 0
}
