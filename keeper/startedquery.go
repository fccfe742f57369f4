package keeper

import (
	"slices"
	"sync"

	"wardturn/peer"
)

// startedQueries are the pending queries of gateways about which of their requests the engine
// has started. Queries that arrive while a report is being read are answered together from
// the next one.
type startedQueries struct {
	mu    sync.Mutex
	ids   map[*peer.Conn][]string
	woken chan struct{}
}

func newStartedQueries() startedQueries {
	return startedQueries{
		ids:   make(map[*peer.Conn][]string),
		woken: make(chan struct{}, 1),
	}
}

func (b *startedQueries) add(c *peer.Conn, ids []string) {
	b.mu.Lock()
	b.ids[c] = append(b.ids[c], ids...)
	b.mu.Unlock()
	select {
	case b.woken <- struct{}{}:
	default:
	}
}

// take removes and returns the pending queries.
func (b *startedQueries) take() map[*peer.Conn][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := b.ids
	b.ids = make(map[*peer.Conn][]string)
	return ids
}

// answerStarted answers queries from reports that are read after the queries arrived.
func (k *Keeper) answerStarted() {
	logged := false // the missing list of runs was logged; gateways repeat their queries
	for {
		select {
		case <-k.started.woken:
		case <-k.tasks.Context().Done():
			return
		}
		asked := k.started.take()
		runs, named, err := k.engine.Runs()
		if err != nil {
			k.logger.Debug("reading the engine's running requests failed; gateways will repeat their queries", "error", err)
			continue
		}
		if !named && !logged {
			// Report all as started, which is true of most: gateways query requests
			// while they wait for the responses.
			k.logger.Warn("engine does not name its runs, requests count as begun")
			logged = true
		}
		k.sendStarted(asked, func(id string) bool {
			return !named || slices.Contains(runs, id)
		})
	}
}

// sendStarted sends each gateway those of its requests that have started.
func (k *Keeper) sendStarted(asked map[*peer.Conn][]string, started func(id string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, ids := range asked {
		ids = slices.DeleteFunc(ids, func(id string) bool {
			return !started(id)
		})
		if len(ids) == 0 {
			continue
		}
		// A gateway that does not get the report repeats its query.
		_ = c.Send(&peer.StartedReport{
			Upstream: k.upstream,
			IDs:      ids,
		})
	}
}
