package keeper

import (
	"slices"
	"sync"

	"wardturn/peer"
)

// startedQueries are the pending queries of gateways about which of their requests the
// engine has started. Queries that arrive while a report is being read are answered together
// from the next one.
type startedQueries struct {
	mu      sync.Mutex
	ids     map[*peer.Conn][]string
	arrived chan struct{}
}

func newStartedQueries() startedQueries {
	return startedQueries{
		ids:     make(map[*peer.Conn][]string),
		arrived: make(chan struct{}, 1),
	}
}

func (q *startedQueries) add(c *peer.Conn, ids []string) {
	q.mu.Lock()
	q.ids[c] = append(q.ids[c], ids...)
	q.mu.Unlock()
	select {
	case q.arrived <- struct{}{}:
	default:
	}
}

// takeAll removes and returns the pending queries.
func (q *startedQueries) takeAll() map[*peer.Conn][]string {
	q.mu.Lock()
	defer q.mu.Unlock()
	ids := q.ids
	q.ids = make(map[*peer.Conn][]string)
	return ids
}

// answerStarted answers queries from reports that are read after the queries arrived.
func (k *Keeper) answerStarted() {
	logged := false // the missing list of runs was logged; gateways repeat their queries
	for {
		select {
		case <-k.startedQueries.arrived:
		case <-k.tasks.Context().Done():
			return
		}
		queries := k.startedQueries.takeAll()
		runs, listed, err := k.engine.RunningRequests()
		if err != nil {
			k.logger.Debug("reading the engine's running requests failed; gateways will repeat their queries", "error", err)
			continue
		}
		if !listed && !logged {
			// Report all as started, which is true of most: gateways query requests
			// while they wait for the responses.
			k.logger.Warn("engine does not name its runs, requests count as begun")
			logged = true
		}
		k.sendStarted(queries, func(id string) bool {
			return !listed || slices.Contains(runs, id)
		})
	}
}

// sendStarted sends each gateway those of its requests that have started.
func (k *Keeper) sendStarted(queries map[*peer.Conn][]string, started func(id string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, ids := range queries {
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
