package decide

import (
	"slices"
	"time"

	"wardturn"
)

const (
	// prefillPauseShare is the fraction of the smallest allowed pause that the prompts
	// granted together may take. The rest is for the steps between prompts and for the
	// generation of the streams' tokens.
	prefillPauseShare = 0.6
	// unreadPauseShare is the fraction that those of them may take whose prefill has not
	// ended. The others have ended it, but their first events have not been reported yet. At
	// an engine that reports them at once, a budget of prefillPauseShare fills all steps.
	unreadPauseShare = 0.5
	// pauseLimitMemory is how long the pause limit of a prompt applies after its last
	// event, because its stream still runs then.
	pauseLimitMemory = 10 * time.Second
	// maxTurnWait is how long a prompt waits in the order of urgency. After that it is aged
	// and may get a turn for its age, so that late prompts do not starve.
	maxTurnWait = 2 * time.Second
	// agedTurnInterval is the number of turns of which one may be granted for age. If all
	// aged prompts went first, a backlog of late prompts would make all others late too.
	agedTurnInterval = 8
	// turnExpiryFactor and minTurnExpiry bound how long a granted turn lasts, as a multiple
	// of its expected time. The message that ends it may be lost with its gateway's host.
	turnExpiryFactor = 4
	minTurnExpiry    = time.Second
)

// PrefillTurnID identifies a prompt at a keeper.
type PrefillTurnID struct {
	Gateway uint64 // connection to a gateway, as numbered by the keeper
	Request uint64 // chosen by the gateway
}

// PrefillPrompt is a prompt that needs a turn at an engine.
type PrefillPrompt struct {
	ID       PrefillTurnID
	Tokens   wardturn.Tokens
	Urgency  Urgency
	MaxPause time.Duration // longest allowed pause of its response stream; zero: unlimited
	// Rate is the gateway's estimate of the engine's prefill rate, in tokens per
	// millisecond. It is used until the queue has measured the engine; zero: none.
	Rate float64
}

// PrefillQueue orders the prompts that gateways send to one engine, and bounds those that
// are in prefill there at once.
//
// It handles bursts of prompts from many gateways at one engine. An engine prefills prompts
// in order of arrival, a part of them in each step, and generates one token for each stream
// in the same step. Without turns, prompts of many gateways make all streams pause for
// longer than their routes allow, and urgent prompts wait for others.
type PrefillQueue struct {
	turns         map[PrefillTurnID]*prefillTurn
	waiting       []*prefillTurn // in order of arrival
	order         turnOrder      // of waiting
	granted       []*prefillTurn // in order of their grants
	waitingTokens int
	grantedTokens int
	pauses        pauseLimits
	teams         prefillTeams
	speed         prefillSpeed
	busy          busyPeriod
	seq           uint64          // number of the latest turn
	sinceAged     int             // turns granted since one was granted for its age
	expired       int             // turns that have expired
	grants        []PrefillTurnID // result of the latest Grant
	free          []*prefillTurn  // for reuse
}

// prefillTurn is a prompt in the queue.
type prefillTurn struct {
	PrefillPrompt
	seq         uint64 // order of arrival
	queuedAt    time.Time
	latestStart time.Time // latest start of the prefill that meets the objective
	latestUse   time.Time // latest start of the prefill that meets the deadline
	team        *prefillTeam
	group       *turnGroup // of a waiting turn
	index       int        // in group
	isGranted   bool
	expiresAt   time.Time // of a granted turn
}

// NewPrefillQueue returns an empty queue.
func NewPrefillQueue() *PrefillQueue {
	return &PrefillQueue{
		turns: make(map[PrefillTurnID]*prefillTurn),
		order: newTurnOrder(),
		teams: prefillTeams{
			byID: make(map[wardturn.TeamID]*prefillTeam),
		},
	}
}

// Add adds a prompt that waits for its turn. A prompt that is in the queue already is
// ignored.
func (q *PrefillQueue) Add(now time.Time, p PrefillPrompt) {
	if q.turns[p.ID] != nil {
		return
	}
	p.Tokens = max(p.Tokens, 1)
	q.speed.assume(p.Rate)
	q.pauses.observe(now, p.MaxPause)
	t := q.newTurn()
	prefill := q.speed.time(int(p.Tokens))
	q.seq++
	*t = prefillTurn{
		PrefillPrompt: p,
		seq:           q.seq,
		queuedAt:      now,
		latestStart:   p.Urgency.LateAt.Add(-prefill),
		latestUse:     p.Urgency.Deadline.Add(-prefill),
		team:          q.teams.get(p.Urgency.Team),
	}
	q.turns[p.ID] = t
	q.waiting = append(q.waiting, t)
	q.order.add(q.nextStart(now), t)
	q.waitingTokens += int(p.Tokens)
}

func (q *PrefillQueue) newTurn() *prefillTurn {
	if len(q.free) == 0 {
		return &prefillTurn{}
	}
	t := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	return t
}

// Done removes a prompt: its prefill has ended, or its turn is not needed any more.
func (q *PrefillQueue) Done(now time.Time, id PrefillTurnID) {
	t := q.turns[id]
	if t == nil {
		return
	}
	q.pauses.observe(now, t.MaxPause)
	if t.isGranted {
		q.busy.tokens += int(t.Tokens)
	}
	wasGranted := t.isGranted
	q.remove(t)
	if wasGranted {
		q.measure(now)
	}
}

// measure ends the busy period if no granted prompt is left, or a part of it that is long
// enough, and learns the engine's speed from it.
func (q *PrefillQueue) measure(now time.Time) {
	if len(q.granted) > 0 && now.Sub(q.busy.start) < maxBusyPeriod {
		return
	}
	q.speed.observe(q.busy, now)
	q.restartBusy(now)
}

// restartBusy starts a new part of a busy period, in which the engine prefills already.
func (q *PrefillQueue) restartBusy(now time.Time) {
	q.busy = busyPeriod{
		start: now,
	}
}

// DropGateway removes all prompts of a gateway.
func (q *PrefillQueue) DropGateway(now time.Time, gateway uint64) {
	q.drop(now, func(t *prefillTurn) bool {
		return t.ID.Gateway == gateway
	})
}

// EngineRestarted ends all granted turns and forgets the engine's speed: another lifetime
// of the engine has started.
func (q *PrefillQueue) EngineRestarted(now time.Time) {
	q.drop(now, func(t *prefillTurn) bool {
		return t.isGranted
	})
	q.speed = prefillSpeed{}
}

// drop removes the matching turns. The busy period is not used as a sample, since the
// engine may not have prefilled their prompts.
func (q *PrefillQueue) drop(now time.Time, match func(*prefillTurn) bool) {
	dropped := false
	for _, t := range q.turns {
		if match(t) {
			dropped = dropped || t.isGranted
			q.remove(t)
		}
	}
	if dropped {
		q.restartBusy(now)
	}
}

func (q *PrefillQueue) remove(t *prefillTurn) {
	delete(q.turns, t.ID)
	if t.isGranted {
		q.grantedTokens -= int(t.Tokens)
		q.granted = removeTurn(q.granted, t)
	} else {
		q.removeWaiting(t)
	}
	*t = prefillTurn{}
	q.free = append(q.free, t)
}

func (q *PrefillQueue) removeWaiting(t *prefillTurn) {
	q.waitingTokens -= int(t.Tokens)
	q.waiting = removeTurn(q.waiting, t)
	q.order.remove(t)
}

func removeTurn(list []*prefillTurn, t *prefillTurn) []*prefillTurn {
	i := slices.Index(list, t)
	return slices.Delete(list, i, i+1)
}

// Grant ends expired turns, and grants those that may start now. The result is valid until
// the next call.
func (q *PrefillQueue) Grant(now time.Time) []PrefillTurnID {
	q.expire(now)
	q.grants = q.grants[:0]
	if len(q.waiting) == 0 {
		return q.grants
	}
	budget, bounded := q.Budget(now)
	for len(q.waiting) > 0 {
		if bounded && len(q.granted) > 0 && q.grantedTokens >= budget {
			break
		}
		t := q.waiting[0]
		aged := false
		if bounded {
			t, aged = q.next(now, budget)
		}
		if bounded && len(q.granted) > 0 && q.grantedTokens+int(t.Tokens) > budget {
			break
		}
		q.sinceAged++
		if aged {
			q.sinceAged = 0
		}
		q.grant(now, t)
	}
	return q.grants
}

// expire ends the turns whose end was not reported in time.
func (q *PrefillQueue) expire(now time.Time) {
	expired := func(t *prefillTurn) bool {
		return t.isGranted && !now.Before(t.expiresAt)
	}
	if !slices.ContainsFunc(q.granted, expired) {
		return
	}
	before := len(q.granted)
	q.drop(now, expired)
	q.expired += before - len(q.granted)
}

// Budget returns how many tokens may be granted at once; bounded is false if no stream at
// the engine limits its pauses.
func (q *PrefillQueue) Budget(now time.Time) (tokens int, bounded bool) {
	pause, ok := q.pauses.smallest(now)
	if !ok {
		return 0, false
	}
	allowed := milliseconds(pause)
	unreported := q.speed.overhead
	return int(min(prefillPauseShare*allowed, unreadPauseShare*allowed+unreported) * q.speed.rate()), true
}

// next returns the waiting prompt whose turn is next. For fairness a team may be ahead of
// another one by the budget. The parameter aged reports that the prompt is next for its
// age.
func (q *PrefillQueue) next(now time.Time, budget int) (t *prefillTurn, aged bool) {
	start := q.nextStart(now)
	if q.sinceAged >= agedTurnInterval-1 {
		if t := q.oldestAged(now, start); t != nil {
			return t, true
		}
	}
	q.teams.decay(now)
	return q.order.first(start, budget), false
}

// oldestAged returns the aged prompt that has waited longest and is of use to its caller if
// its prefill starts at a time, or nil.
func (q *PrefillQueue) oldestAged(now, start time.Time) *prefillTurn {
	for _, t := range q.waiting {
		if now.Sub(t.queuedAt) <= maxTurnWait {
			return nil
		}
		if !t.uselessFrom(start) {
			return t
		}
	}
	return nil
}

// nextStart returns when the prefill of the next prompt starts, plus the time that passes
// between the end of its prefill and the first event of its response.
func (q *PrefillQueue) nextStart(now time.Time) time.Time {
	return now.Add(q.speed.time(q.grantedTokens) + q.speed.overheadTime())
}

func (q *PrefillQueue) grant(now time.Time, t *prefillTurn) {
	if len(q.granted) == 0 {
		q.busy = busyPeriod{
			start:    now,
			fromIdle: true,
		}
	}
	q.removeWaiting(t)
	q.granted = append(q.granted, t)
	q.grantedTokens += int(t.Tokens)
	t.isGranted = true
	t.expiresAt = now.Add(max(minTurnExpiry, turnExpiryFactor*q.speed.time(q.grantedTokens)))
	t.team.tokens += int(t.Tokens)
	q.pauses.observe(now, t.MaxPause)
	q.grants = append(q.grants, t.ID)
}

// Tokens returns the tokens of all prompts in the queue, granted or waiting.
func (q *PrefillQueue) Tokens() int {
	return q.grantedTokens + q.waitingTokens
}

// Expired returns how many granted turns have ended because their end was not reported in
// time.
func (q *PrefillQueue) Expired() int {
	return q.expired
}

// Waiting returns the number of waiting prompts and their tokens.
func (q *PrefillQueue) Waiting() (prompts, tokens int) {
	return len(q.waiting), q.waitingTokens
}

// WaitingGateways calls f for the gateway of each waiting prompt.
func (q *PrefillQueue) WaitingGateways(f func(gateway uint64)) {
	for _, t := range q.waiting {
		f(t.ID.Gateway)
	}
}

// Rate returns the measured prefill rate of the engine in tokens per millisecond, or zero
// if none was measured.
func (q *PrefillQueue) Rate() float64 {
	if q.speed.samples == 0 {
		return 0
	}
	return q.speed.rate()
}
