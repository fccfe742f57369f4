package keeper

import (
	"time"

	"wardturn/decide"
	"wardturn/peer"
)

// wordsPause is how long messages between gateways are collected before they are forwarded,
// so that a gateway gets one message with those of all others.
const wordsPause = 50 * time.Millisecond

// words are messages between gateways about rates that they enforce jointly, to be
// forwarded.
type words struct {
	teams  []decide.TeamWord
	limits []decide.LimitGossip
}

// gather queues messages to be forwarded together. The lock must be held.
func (k *Keeper) gather(w words) {
	if len(k.words.teams)+len(k.words.limits) == 0 {
		k.clock.AfterFunc(wordsPause, k.passWords)
	}
	k.words.teams = append(k.words.teams, w.teams...)
	k.words.limits = append(k.words.limits, w.limits...)
}

// passWords forwards the queued messages.
func (k *Keeper) passWords() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.words.teams) > 0 {
		k.passOn(nil, &peer.TeamUse{
			Words: k.words.teams,
		})
	}
	if len(k.words.limits) > 0 {
		k.passOn(nil, &peer.LimitNews{
			Words: k.words.limits,
		})
	}
	k.words = words{}
}
