package decide_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// Reads of the store must not grow with the number of gateways: they are shared for that
// purpose.
func TestStoreReadsDoNotGrowWithGateways(t *testing.T) {
	few, many := storeReads(3), storeReads(470)
	t.Logf("reads per hour: 3 gateways %.0f, 470 gateways %.0f", few, many)
	if many > 4*few {
		t.Errorf("470 gateways read %.0f times per hour, 3 gateways %.0f times", many, few)
	}
}

const (
	readInterval = time.Second
	readStep     = 2 * time.Millisecond // of virtual time; also the transit time of a report
	readDuration = 10 * time.Minute
)

// storeReads returns how often per hour n gateways that share their reads read the list
// of upstreams, while one in a hundred gateways is replaced each minute.
func storeReads(n int) float64 {
	now := start
	startedCount := 0
	startGateway := func() (wardturn.Incarnation, *decide.ReadScheduler) {
		startedCount++
		id := wardturn.Incarnation(fmt.Sprintf("%08x", uint32(startedCount)*2654435761))
		return id, decide.NewReadScheduler(now, id, decide.ReadSchedulerConfig{
			MaxAge:      readInterval,
			Interval:    readInterval,
			MinInterval: readInterval / 4,
		})
	}
	ids := make([]wardturn.Incarnation, n)
	schedulers := make([]*decide.ReadScheduler, n)
	for i := range schedulers {
		ids[i], schedulers[i] = startGateway()
	}
	reads := 0
	replaced := time.Minute / time.Duration(max(1, n/100))
	for ; now.Sub(start) < readDuration; now = now.Add(readStep) {
		if now.Sub(start)%replaced < readStep {
			i := reads % n
			ids[i], schedulers[i] = startGateway()
		}
		reads += readDue(now, ids, schedulers)
	}
	return float64(reads) * time.Hour.Hours() / readDuration.Hours()
}

// readDue performs the reads that are due and reports each to the other gateways.
func readDue(now time.Time, ids []wardturn.Incarnation, schedulers []*decide.ReadScheduler) int {
	var due []int
	for i, s := range schedulers {
		if !s.DueAt(now).After(now) {
			due = append(due, i)
		}
	}
	for _, i := range due {
		schedulers[i].ReadStarted(now)
		stamp := schedulers[i].ReadSucceeded(now)
		for j, s := range schedulers {
			if j != i {
				s.PeerRead(now.Add(readStep), ids[i], stamp)
			}
		}
	}
	return len(due)
}
