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

// caps enforces the usage caps of teams and exchanges usage messages with the other
// gateways through keepers.
type caps struct {
	g *Gateway

	mu    sync.Mutex
	teams *decide.TeamCaps
	// returns has the contents refused here, to measure the error of retry delays.
	returns *decide.CapReturns
	sent    int // messages sent so far

	urgent chan struct{} // requests a message before the next interval
}

// capInterval is the interval at which it is checked whether a usage message is due.
const capInterval = 200 * time.Millisecond

// capRelayGroup is the number of gateways that send their usage messages through the same
// keepers, so that a keeper can merge several of them into one message. With a single
// group, two keepers would carry the load of all gateways.
const capRelayGroup = 16

// relayKey returns the key that selects the keepers for this gateway's usage messages.
func (c *caps) relayKey(gateways int) string {
	groups := gateways/capRelayGroup + 1
	return "caps/" + strconv.Itoa(hashBucket(string(c.g.cfg.Process), groups))
}

func newCaps(g *Gateway) *caps {
	return &caps{
		g:       g,
		urgent:  make(chan struct{}, 1),
		returns: decide.NewCapReturns(),
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

// setPreviousGateways sets the number of gateways that was known before this one started.
func (c *caps) setPreviousGateways(gateways int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teams.SetPreviousGateways(c.g.clock.Now(), gateways)
}

// sendUrgent sends a usage message whenever one cannot wait for the next interval, until
// the gateway shuts down.
func (c *caps) sendUrgent() {
	for {
		select {
		case <-c.urgent:
			c.announce()
		case <-c.g.tasks.Context().Done():
			return
		}
	}
}

// announce sends the usage at this gateway to the others if a message is due. Messages go
// to two keepers in each failure domain alternately. Totals are cumulative, so the next
// message makes up for a lost one.
func (c *caps) announce() {
	c.updateRationing() // also when the configuration has no teams any more
	if !c.g.hasTeams() {
		return
	}
	c.g.mu.Lock()
	gateways := c.g.fleet.ReportedGateways()
	c.g.mu.Unlock()
	c.mu.Lock()
	now := c.g.clock.Now()
	c.teams.SetGateways(now, gateways)
	r, due := c.teams.Report(now)
	turn := c.sent
	if due {
		c.sent++
	}
	c.mu.Unlock()
	if !due {
		return
	}
	m := &peer.TeamUsageReports{
		Reports: []decide.TeamUsageReport{r},
	}
	for _, conn := range c.g.links.alternatingConns(c.relayKey(gateways), turn) {
		// Errors are ignored: the next message makes up for a lost one.
		_ = conn.Send(m)
	}
}

func (c *caps) receive(m *peer.TeamUsageReports) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.clock.Now()
	for _, r := range m.Reports {
		c.teams.Receive(now, r)
	}
}

// charge charges the request to its team's cap. If the cap is exceeded, it rejects the
// request and reports false.
func (x *exchange) charge() bool {
	if x.team == nil || x.team.Cap.Rate <= 0 {
		return true
	}
	x.units = x.team.Cap.Units(x.r.Header.Get(x.g.names.TokenCount))
	r := decide.CapRequest{
		Team:  x.team.ID,
		Units: x.units,
		Rank:  x.priority(),
	}
	c := x.g.caps
	now := x.g.clock.Now()
	c.mu.Lock()
	told, returning := c.returns.Returned(x.content)
	retryAfter, ok := c.teams.ChargeRequest(now, r)
	left := 0.0
	if !ok {
		left = c.teams.Remaining(now, x.team.ID)
		c.returns.Refused(now, x.content, retryAfter)
	}
	urgent := c.teams.NeedsEarlyReport(now, x.team.ID)
	c.mu.Unlock()
	if urgent {
		signal(c.urgent)
	}
	if returning {
		x.g.metrics.capReturn(now.Sub(told), retryAfter, ok)
	}
	if !ok {
		x.rejectOverCap(r.Rank, retryAfter, left)
	}
	return ok
}

// refund refunds the request's charge if no upstream can have run the request.
func (x *exchange) refund() {
	if x.units == 0 || x.mayHaveRun {
		return
	}
	c := x.g.caps
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teams.Refund(x.team.ID, x.units)
}

// rejectOverCap rejects a request that exceeds its team's cap. The parameter left is the
// remainder of the cap, in seconds of its rate.
func (x *exchange) rejectOverCap(rank int, retryAfter time.Duration, left float64) {
	x.setRetryAfter(retryAfter)
	x.g.metrics.finished(x, "beyond_cap")
	x.g.metrics.beyondCap(x.team.ID, rank)
	x.g.logger.Info("beyond the cap", "id", x.attempt, "team", x.team.ID, "units", x.units, "left_s", strconv.FormatFloat(left, 'f', 3, 64), "retry_after", retryAfter, "rank", rank, "route", x.route.Name)
	x.write(http.StatusTooManyRequests, string(wardturn.ReasonQuota))
}
