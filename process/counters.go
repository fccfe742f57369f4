package process

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"wardturn"
)

// OutcomeCounters counts outcomes by class, kind and reason. It caches the counters by
// their labels, so that counting doesn't have to look up a tagged scope.
type OutcomeCounters struct {
	scope tally.Scope
	name  string

	mu       sync.RWMutex
	counters map[outcomeLabels]tally.Counter
}

type outcomeLabels struct {
	class  wardturn.Class
	kind   wardturn.OutcomeKind
	reason wardturn.Reason
}

// NewOutcomeCounters returns counters with the given metric name in a scope.
func NewOutcomeCounters(scope tally.Scope, name string) *OutcomeCounters {
	return &OutcomeCounters{
		scope:    scope,
		name:     name,
		counters: make(map[outcomeLabels]tally.Counter),
	}
}

// Count counts one outcome.
func (c *OutcomeCounters) Count(class wardturn.Class, o wardturn.Outcome) {
	labels := outcomeLabels{
		class:  class,
		kind:   o.Kind,
		reason: o.Reason,
	}
	c.mu.RLock()
	counter := c.counters[labels]
	c.mu.RUnlock()
	if counter == nil {
		counter = c.add(labels)
	}
	counter.Inc(1)
}

func (c *OutcomeCounters) add(l outcomeLabels) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counter := c.counters[l]; counter != nil {
		return counter
	}
	counter := c.scope.Tagged(map[string]string{
		"class":   l.class.String(),
		"outcome": l.kind.String(),
		"reason":  string(l.reason),
	}).Counter(c.name)
	c.counters[l] = counter
	return counter
}
