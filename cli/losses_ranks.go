package cli

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// rankLosses has the losses by rank and team, and those for lack of a prefill turn or of
// capacity. Logs of older builds have none of the fields, and the tables are left out.
type rankLosses struct {
	byRank map[string]*groupLosses
	byTeam map[string]*groupLosses
	turns  map[string]*turnWaits   // by rank
	limits map[string]*limitLosses // by route or service
}

// groupLosses has the requests of one rank or team that were late or refused.
type groupLosses struct {
	late      int
	refused   int
	beyondCap int
	waited    []time.Duration // before the refusal
	predicted []time.Duration // wait predicted at the refusal
}

// turnWaits has the late responses of one rank that waited for a prefill turn.
type turnWaits struct {
	turn       []time.Duration
	firstToken []time.Duration
}

// limitLosses has the requests refused by the concurrency limit of a plain service.
type limitLosses struct {
	capacity []float64 // requests per second
	demand   []float64 // requests per second
}

func newRankLosses() *rankLosses {
	return &rankLosses{
		byRank: make(map[string]*groupLosses),
		byTeam: make(map[string]*groupLosses),
		turns:  make(map[string]*turnWaits),
		limits: make(map[string]*limitLosses),
	}
}

// addLate adds the line of a late response.
func (l *rankLosses) addLate(line logLine) {
	for _, g := range l.groups(line) {
		g.late++
	}
	turn := line.duration("turn")
	if turn <= 0 {
		return
	}
	t := entryOf(l.turns, fieldOr(line, "unknown", "rank"))
	t.turn = append(t.turn, turn)
	t.firstToken = append(t.firstToken, line.duration("first"))
}

// addRefused adds the line of a refusal.
func (l *rankLosses) addRefused(line logLine) {
	for _, g := range l.groups(line) {
		g.refused++
		g.waited = append(g.waited, line.duration("waited"))
		if line.fields["predicted"] != "" {
			g.predicted = append(g.predicted, line.duration("predicted"))
		}
	}
	capacity, known := line.float("capacity")
	if !known {
		return
	}
	demand, _ := line.float("demand")
	limit := entryOf(l.limits, fieldOr(line, "unknown", "service", "route"))
	limit.capacity = append(limit.capacity, capacity)
	limit.demand = append(limit.demand, demand)
}

// addBeyondCap adds the line of a request that exceeded its team's cap.
func (l *rankLosses) addBeyondCap(line logLine) {
	for _, g := range l.groups(line) {
		g.beyondCap++
	}
}

// groups returns the groups of a line: those of its rank and its team, as far as it has
// them.
func (l *rankLosses) groups(line logLine) []*groupLosses {
	var groups []*groupLosses
	if rank := line.fields["rank"]; rank != "" {
		groups = append(groups, entryOf(l.byRank, rank))
	}
	if team := line.fields["team"]; team != "" {
		groups = append(groups, entryOf(l.byTeam, team))
	}
	return groups
}

// entryOf returns the entry of a key, creating it if necessary.
func entryOf[T any](m map[string]*T, key string) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

// fieldOr returns the first of some fields that a line has, or a substitute.
func fieldOr(line logLine, substitute string, names ...string) string {
	for _, name := range names {
		if v := line.fields[name]; v != "" {
			return v
		}
	}
	return substitute
}

// write prints the tables for which the logs have data.
func (l *rankLosses) write(w io.Writer) {
	writeGroups(w, "rank", l.byRank, sortedRanks(l.byRank))
	writeGroups(w, "team", l.byTeam, keysByCount(l.byTeam, func(g *groupLosses) int { return g.late + g.refused + g.beyondCap }))
	l.writeTurns(w)
	l.writeLimits(w)
}

func writeGroups(w io.Writer, name string, groups map[string]*groupLosses, keys []string) {
	if len(groups) == 0 {
		return
	}
	fmt.Fprintf(w, "\nlost by %s\tlate\trefused\tbeyond cap\twaited p50\tpredicted p50\n", name)
	for _, key := range keys {
		g := groups[key]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\n", key, g.late, g.refused, g.beyondCap, medianOrNone(g.waited), medianOrNone(g.predicted))
	}
}

func (l *rankLosses) writeTurns(w io.Writer) {
	if len(l.turns) == 0 {
		return
	}
	fmt.Fprintln(w, "\nlate with a prefill turn, by rank\tanswers\tturn p50\tp90\tfirst p50")
	for _, rank := range sortedRanks(l.turns) {
		t := l.turns[rank]
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", rank, len(t.turn), formatMillis(quantile(t.turn, 0.5)), formatMillis(quantile(t.turn, 0.9)), formatMillis(quantile(t.firstToken, 0.5)))
	}
}

func (l *rankLosses) writeLimits(w io.Writer) {
	if len(l.limits) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrefused beyond capacity\trequests\tcapacity p50\tdemand p50")
	for _, key := range keysByCount(l.limits, func(limit *limitLosses) int { return len(limit.capacity) }) {
		limit := l.limits[key]
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", key, len(limit.capacity), formatRate(quantile(limit.capacity, 0.5)), formatRate(quantile(limit.demand, 0.5)))
	}
}

// sortedRanks returns ranks, the most urgent first, and keys that are no numbers last.
func sortedRanks[V any](m map[string]V) []string {
	ranks := make([]string, 0, len(m))
	for rank := range m {
		ranks = append(ranks, rank)
	}
	slices.SortFunc(ranks, func(x, y string) int {
		nx, errX := strconv.Atoi(x)
		ny, errY := strconv.Atoi(y)
		switch {
		case errX == nil && errY == nil:
			return nx - ny
		case errX == nil:
			return -1
		case errY == nil:
			return 1
		}
		return strings.Compare(x, y)
	})
	return ranks
}

func medianOrNone(list []time.Duration) string {
	if len(list) == 0 {
		return "none"
	}
	return formatMillis(quantile(list, 0.5))
}

// formatRate formats requests per second.
func formatRate(rate float64) string {
	return strconv.FormatFloat(rate, 'f', 1, 64) + "/s"
}

// float returns the value of a field as a number, and whether it is one.
func (l logLine) float(field string) (float64, bool) {
	n, err := strconv.ParseFloat(l.fields[field], 64)
	return n, err == nil
}
