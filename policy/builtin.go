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
	batchWeight = 0.05
	// defaultHold bounds how long the default policy lets batch work wait.
	defaultHold = 10 * time.Minute
	// fillTarget is the number of batch requests on one adapter that are worth
	// a run of their own.
	fillTarget = 6
)

// Default is the policy in force until an operator publishes another. It keeps
// the adapters of the highest predicted rate, loads for the most waiting
// requests, lets waiting grow in value with age, and holds batch work until
// there are steps to share.
type Default struct{}

// Name implements wardturn.Policy.
func (Default) Name() string {
	return NameDefault
}

// Slot implements wardturn.Policy.
func (Default) Slot(in wardturn.SlotInput) float64 {
	v := rateWeight * in.Rate
	if in.Waiting > 0 {
		v += float64(in.Waiting) + ageWeight*in.WaitingLong.Seconds()
	}
	return v + batchWeight*float64(in.BatchWait)
}

// Hold implements wardturn.Policy.
func (Default) Hold(in wardturn.QueueInput) time.Duration {
	if in.Running > 0 && in.Resident || in.Waiting >= fillTarget {
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
	if in.Waiting+in.BatchWait > 0 {
		return 1 + max(in.WaitingLong, in.BatchLong).Seconds()
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
