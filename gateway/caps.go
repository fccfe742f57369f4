package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// caps are the usage caps of teams, and the words on them that go to and come from
// the other gateways through keepers.
type caps struct {
	g *Gateway

	mu    sync.Mutex
	teams *decide.TeamCaps
	words int // told so far

	pressing chan struct{} // asks for a word before the next look
}

// capEvery is how often it is looked whether the other gateways have to be told.
const capEvery = 200 * time.Millisecond

// capGroup is how many gateways have their words on caps carried by the same keepers:
// what a keeper gets of several it passes on in one message. With one group for all, the
// two that it chooses would carry everything.
const capGroup = 16

// relayKey chooses the keepers that carry this gateway's words.
func (c *caps) relayKey(gateways int) string {
	groups := gateways/capGroup + 1
	return "caps/" + strconv.Itoa(bucketOf(string(c.g.cfg.Process), groups))
}

func newCaps(g *Gateway) *caps {
	return &caps{
		g:        g,
		pressing: make(chan struct{}, 1),
		teams: decide.NewTeamCaps(g.clock.Now(), g.cfg.Process, decide.TeamCapConfig{
			EqualShares: g.cfg.EqualCapShares,
		}),
	}
}

func (c *caps) setTeams(teams []wardturn.Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teams.SetTeams(c.g.clock.Now(), teams)
}

// recall takes how many gateways there were before this one.
func (c *caps) recall(gateways int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teams.Recall(c.g.clock.Now(), gateways)
}

// tellPressing tells the other gateways whenever that cannot wait for the next look, until
// the gateway ends.
func (c *caps) tellPressing() {
	for {
		select {
		case <-c.pressing:
			c.tell()
		case <-c.g.tasks.Context().Done():
			return
		}
	}
}

// tell tells the other gateways what this one has taken, if that is due. Each word
// goes to one of two keepers in each failure domain, by turns: what one loses, the
// next word makes up for.
func (c *caps) tell() {
	if !c.g.keyed() {
		return
	}
	c.g.mu.Lock()
	counted := c.g.fleet.CountedGateways()
	c.g.mu.Unlock()
	c.mu.Lock()
	now := c.g.clock.Now()
	c.teams.SetGateways(now, counted)
	w, due := c.teams.Word(now)
	turn := c.words
	if due {
		c.words++
	}
	c.mu.Unlock()
	if !due {
		return
	}
	m := &peer.TeamUse{
		Words: []decide.TeamWord{w},
	}
	for _, conn := range c.g.links.capConns(c.relayKey(counted), turn) {
		// A word that is lost is made up for by the next.
		_ = conn.Send(m)
	}
}

func (c *caps) receive(m *peer.TeamUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.clock.Now()
	for _, w := range m.Words {
		c.teams.Heard(now, w)
	}
}

// charge takes the request from its team's cap. It answers one that lies beyond.
func (x *exchange) charge() bool {
	if x.team == nil || x.team.Cap.Rate <= 0 {
		return true
	}
	x.units = x.team.Cap.Units(x.r.Header.Get(x.g.names.TokenCount))
	c := x.g.caps
	c.mu.Lock()
	retryAfter, ok := c.teams.Take(x.g.clock.Now(), x.team.ID, x.units)
	left := 0.0
	if !ok {
		left = c.teams.Left(x.g.clock.Now(), x.team.ID)
	}
	pressing := c.teams.Pressing(x.g.clock.Now(), x.team.ID)
	c.mu.Unlock()
	if pressing {
		wake(c.pressing)
	}
	if !ok {
		x.refuseBeyondCap(retryAfter, left)
	}
	return ok
}

// settle gives back what the request took from its team's cap if no upstream can have
// run it.
func (x *exchange) settle() {
	if x.units == 0 || x.mayHaveRun {
		return
	}
	c := x.g.caps
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teams.GiveBack(x.team.ID, x.units)
}

// refuseBeyondCap tells the caller that its team's cap is used up; left is what is
// left of it, in seconds of its rate.
func (x *exchange) refuseBeyondCap(retryAfter time.Duration, left float64) {
	x.comeBack(retryAfter)
	x.g.metrics.finished(x, "beyond_cap")
	x.g.metrics.beyondCap(x.team.ID)
	x.g.logger.Info("beyond the cap", "id", x.attempt, "team", x.team.ID, "units", x.units, "left_s", strconv.FormatFloat(left, 'f', 3, 64), "retry_after", retryAfter)
	x.write(http.StatusTooManyRequests, string(wardturn.ReasonQuota))
}
