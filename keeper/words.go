package keeper

import (
	"time"

	"wardturn/decide"
	"wardturn/peer"
)

// wordsPause is how long gateways' words to each other are gathered, so that a gateway gets
// one message for those of all others.
const wordsPause = 50 * time.Millisecond

// words are what gateways tell each other on rates that they keep together, to be passed
// on.
type words struct {
	teams  []decide.TeamWord
	limits []decide.LimitGossip
}

// gather keeps words to be passed on together; the lock is held.
func (k *Keeper) gather(w words) {
	if len(k.words.teams)+len(k.words.limits) == 0 {
		k.clock.AfterFunc(wordsPause, k.passWords)
	}
	k.words.teams = append(k.words.teams, w.teams...)
	k.words.limits = append(k.words.limits, w.limits...)
}

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
