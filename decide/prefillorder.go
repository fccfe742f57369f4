package decide

import (
	"cmp"
	"container/heap"
	"time"
)

// turnOrder orders waiting turns: those that can still be in time before the others, and
// those that cannot start before their deadlines last; then by rank, by the prefill that
// their team lately used, by the end of their objective and by arrival. It keeps a heap for
// each rank and team, because the use of the teams changes.
type turnOrder struct {
	inTime  turnGroups
	late    turnGroups
	useless turnGroups
}

type turnGroups struct {
	byKey    map[turnGroupKey]*turnGroup
	nonEmpty []*turnGroup
}

type turnGroupKey struct {
	rank int
	team *prefillTeam
}

// turnGroup holds the waiting turns of one rank and team as a heap.
type turnGroup struct {
	key   turnGroupKey
	owner *turnGroups
	index int // in owner.nonEmpty
	turns turnHeap
}

func newTurnOrder() turnOrder {
	return turnOrder{
		inTime:  newTurnGroups(),
		late:    newTurnGroups(),
		useless: newTurnGroups(),
	}
}

func (o *turnOrder) add(start time.Time, t *prefillTurn) {
	switch {
	case t.uselessFrom(start):
		o.useless.add(t)
	case t.lateFrom(start):
		o.late.add(t)
	default:
		o.inTime.add(t)
	}
}

// lateFrom reports whether the response misses its objective if the prefill starts at a
// time.
func (t *prefillTurn) lateFrom(start time.Time) bool {
	return start.After(t.latestStart)
}

// uselessFrom reports whether the caller is gone before the response if the prefill starts
// at a time.
func (t *prefillTurn) uselessFrom(start time.Time) bool {
	return start.After(t.latestUse)
}

// first returns the first turn in the order, or nil if there is none. Which turns can still
// be in time follows from the start of the next prefill. The use of teams is
// compared in units of the tolerance, in tokens.
func (o *turnOrder) first(start time.Time, tolerance int) *prefillTurn {
	o.inTime.moveTo(&o.late, func(t *prefillTurn) bool {
		return t.lateFrom(start)
	})
	if t := o.inTime.first(tolerance); t != nil {
		return t
	}
	o.late.moveTo(&o.useless, func(t *prefillTurn) bool {
		return t.uselessFrom(start)
	})
	if t := o.late.first(tolerance); t != nil {
		return t
	}
	return o.useless.first(tolerance)
}

// moveTo moves the turns that would be next and match to other groups.
func (gs *turnGroups) moveTo(others *turnGroups, match func(*prefillTurn) bool) {
	for i := 0; i < len(gs.nonEmpty); i++ {
		g := gs.nonEmpty[i]
		for len(g.turns) > 0 && match(g.turns[0]) {
			t := g.turns[0]
			g.remove(t)
			others.add(t)
		}
		if len(g.turns) == 0 {
			gs.dropEmpty(g)
			i--
		}
	}
}

func (o *turnOrder) remove(t *prefillTurn) {
	g := t.group
	g.remove(t)
	if len(g.turns) > 0 {
		return
	}
	g.owner.dropEmpty(g)
}

func newTurnGroups() turnGroups {
	return turnGroups{
		byKey: make(map[turnGroupKey]*turnGroup),
	}
}

func (gs *turnGroups) add(t *prefillTurn) {
	key := turnGroupKey{
		rank: t.Urgency.Rank,
		team: t.team,
	}
	g := gs.byKey[key]
	if g == nil {
		g = &turnGroup{
			key:   key,
			owner: gs,
		}
		gs.byKey[key] = g
	}
	if len(g.turns) == 0 {
		g.index = len(gs.nonEmpty)
		gs.nonEmpty = append(gs.nonEmpty, g)
	}
	t.group = g
	heap.Push(&g.turns, t)
}

// dropEmpty removes a group without turns from the non-empty ones.
func (gs *turnGroups) dropEmpty(g *turnGroup) {
	last := gs.nonEmpty[len(gs.nonEmpty)-1]
	gs.nonEmpty[g.index] = last
	last.index = g.index
	gs.nonEmpty = gs.nonEmpty[:len(gs.nonEmpty)-1]
}

func (gs *turnGroups) first(tolerance int) *prefillTurn {
	var best *turnGroup
	for _, g := range gs.nonEmpty {
		if best == nil || g.before(best, tolerance) {
			best = g
		}
	}
	if best == nil {
		return nil
	}
	return best.turns[0]
}

// before reports whether the first turn of a group is before that of another one.
func (g *turnGroup) before(o *turnGroup, tolerance int) bool {
	if g.key.rank != o.key.rank {
		return g.key.rank < o.key.rank
	}
	if used, otherUsed := g.key.team.level(tolerance), o.key.team.level(tolerance); used != otherUsed {
		return used < otherUsed
	}
	return g.turns[0].compare(o.turns[0]) < 0
}

func (g *turnGroup) remove(t *prefillTurn) {
	heap.Remove(&g.turns, t.index)
	t.group = nil
}

// compare orders turns of one rank and team.
func (t *prefillTurn) compare(o *prefillTurn) int {
	if c := t.Urgency.LateAt.Compare(o.Urgency.LateAt); c != 0 {
		return c
	}
	return cmp.Compare(t.seq, o.seq)
}

// turnHeap implements heap.Interface.
type turnHeap []*prefillTurn

func (h turnHeap) Len() int           { return len(h) }
func (h turnHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h turnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *turnHeap) Push(t any) {
	turn := t.(*prefillTurn)
	turn.index = len(*h)
	*h = append(*h, turn)
}

func (h *turnHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}
