package keeper

import (
	"slices"
	"sync"

	"wardturn/peer"
)

// startedQueries are the questions of gateways which of their requests the engine has started.
// Those that come while a report is under way are answered together by the next one.
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

// take returns the questions that have no answer yet, once.
func (b *startedQueries) take() map[*peer.Conn][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := b.ids
	b.ids = make(map[*peer.Conn][]string)
	return ids
}

// answerStarted answers the questions by reports that are taken after them.
func (k *Keeper) answerStarted() {
	logged := false // that the engine does not name its runs; gateways ask again and again
	for {
		select {
		case <-k.started.woken:
		case <-k.tasks.Context().Done():
			return
		}
		asked := k.started.take()
		runs, named, err := k.engine.Runs()
		if err != nil {
			k.logger.Debug("engine does not tell its runs, gateways have to ask again", "error", err)
			continue
		}
		if !named && !logged {
			// Most requests that are asked for have started: a gateway asks while it
			// waits for their answers.
			k.logger.Warn("engine does not name its runs, requests count as begun")
			logged = true
		}
		k.sendStarted(asked, func(id string) bool {
			return !named || slices.Contains(runs, id)
		})
	}
}

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
		// A gateway that does not get it asks again.
		_ = c.Send(&peer.StartedReport{
			Upstream: k.upstream,
			IDs:      ids,
		})
	}
}
