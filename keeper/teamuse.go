package keeper

import (
	"time"

	"wardturn/peer"
)

// teamUsePause is how long words on usage caps are gathered, so that a gateway gets
// one message for those of all others.
const teamUsePause = 50 * time.Millisecond

// gatherTeamUse keeps words on usage caps to be passed on together; the lock is held.
func (k *Keeper) gatherTeamUse(m *peer.TeamUse) {
	if len(k.teamWords) == 0 {
		k.clock.AfterFunc(teamUsePause, k.passTeamUse)
	}
	k.teamWords = append(k.teamWords, m.Words...)
}

func (k *Keeper) passTeamUse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.passOn(nil, &peer.TeamUse{
		Words: k.teamWords,
	})
	k.teamWords = nil
}
