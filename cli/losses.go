package cli

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// lossesCmd summarizes, from the logs of gateways, why responses were late and requests
// were refused.
type lossesCmd struct {
	Files []string `arg:"" optional:"" help:"Logs of one or several gateways; standard input if none."`
}

// Run implements the command.
func (c *lossesCmd) Run(s Streams) error {
	lines, err := readLogs(c.Files, s.In)
	if err != nil {
		return err
	}
	return newLossStats(lines).write(s.Out)
}

// lossStats has statistics of the log lines about adapter loads, late responses and
// refusals. A response is late if it missed the objective of its route.
type lossStats struct {
	loads         map[string]*loadStats // by cause
	adapters      map[string]bool
	late          map[string]*lateStats      // by the phase that took the most time
	refused       map[string][]time.Duration // time before the refusal, by reason
	resumed       map[string]int             // those of refused that would have resumed a stream
	largestTenths *largestTenths
	byRank        *rankLosses
	droppedLines  int // lines dropped by the rate limits of the logs
}

// loadStats has the adapter loads of one cause.
type loadStats struct {
	durations []time.Duration
	pairs     map[string]bool // adapter and upstream, separated by a space
}

// lateStats has the late responses for which one phase took the most time.
type lateStats struct {
	firstToken    []time.Duration // time from arrival to the first token
	placement     []time.Duration // part of firstToken until an upstream was chosen
	earlierTokens []int           // tokens of earlier prompts that the upstream had yet to prefill
	promptTokens  []int           // tokens of the request's own prompt
	pause         []time.Duration // longest pause between two events of the stream
}

// The phases of a late response that may have taken the most time. In phaseWait the
// request waited for its adapter to load or for a free place at an upstream; in phaseTurn
// it waited at the chosen engine for its turn to be prefilled.
const (
	phaseWait           = "adapter or place"
	phaseTurn           = "prefill turn"
	phaseEarlierPrompts = "prompts before"
	phaseOwnPrompt      = "own prompt"
	phasePause          = "pause"
)

func newLossStats(lines []logLine) *lossStats {
	l := &lossStats{
		loads:         make(map[string]*loadStats),
		adapters:      make(map[string]bool),
		late:          make(map[string]*lateStats),
		refused:       make(map[string][]time.Duration),
		resumed:       make(map[string]int),
		largestTenths: newLargestTenths(),
		byRank:        newRankLosses(),
	}
	for _, line := range lines {
		l.droppedLines += line.number("left_out")
		switch {
		case strings.Contains(line.text, ": adapter there:"):
			l.addLoad(line)
		case strings.Contains(line.text, ": late:"):
			l.addLate(line)
			l.largestTenths.add(line, false)
			l.byRank.addLate(line)
		case strings.Contains(line.text, ": refused:"):
			reason := line.fields["reason"]
			l.refused[reason] = append(l.refused[reason], line.duration("waited"))
			if _, resumes := line.fields["resumes"]; resumes {
				l.resumed[reason]++
			}
			l.largestTenths.add(line, true)
			l.byRank.addRefused(line)
		case strings.Contains(line.text, ": beyond the cap:"):
			l.byRank.addBeyondCap(line)
		case strings.Contains(line.text, ": prompts of a route:"):
			l.largestTenths.addSizes(line)
		}
	}
	return l
}

func (l *lossStats) addLoad(line logLine) {
	c := l.loads[line.fields["cause"]]
	if c == nil {
		c = &loadStats{
			pairs: make(map[string]bool),
		}
		l.loads[line.fields["cause"]] = c
	}
	adapter := line.fields["adapter"]
	c.durations = append(c.durations, line.duration("took"))
	c.pairs[adapter+" "+line.fields["upstream"]] = true
	l.adapters[adapter] = true
}

func (l *lossStats) addLate(line logLine) {
	firstToken, placement, pause := line.duration("first"), line.duration("placed"), line.duration("pause")
	earlierTokens, promptTokens := line.number("prefill"), line.number("prompt")
	phase := longestPhase(firstToken, placement, line.duration("turn"), pause, earlierTokens, promptTokens)
	k := l.late[phase]
	if k == nil {
		k = &lateStats{}
		l.late[phase] = k
	}
	k.firstToken = append(k.firstToken, firstToken)
	k.placement = append(k.placement, placement)
	k.pause = append(k.pause, pause)
	k.earlierTokens = append(k.earlierTokens, earlierTokens)
	k.promptTokens = append(k.promptTokens, promptTokens)
}

// longestPhase returns the phase that took the most time of a late response. The time
// from the choice of an upstream to the first token, less the wait for a prefill turn, is
// divided between earlier prompts and the request's own in proportion to their tokens.
func longestPhase(firstToken, placement, turn, pause time.Duration, earlierTokens, promptTokens int) string {
	prefill := max(firstToken-placement-turn, 0)
	ownPrefill := prefill
	if total := earlierTokens + promptTokens; total > 0 {
		ownPrefill = time.Duration(float64(prefill) * float64(promptTokens) / float64(total))
	}
	longest, most := phaseWait, placement
	for _, c := range []struct {
		phase string
		took  time.Duration
	}{
		{
			phase: phaseTurn,
			took:  turn,
		},
		{
			phase: phaseEarlierPrompts,
			took:  prefill - ownPrefill,
		},
		{
			phase: phaseOwnPrompt,
			took:  ownPrefill,
		},
		{
			phase: phasePause,
			took:  pause,
		},
	} {
		if c.took > most {
			longest, most = c.phase, c.took
		}
	}
	return longest
}

// write prints the statistics as tables.
func (l *lossStats) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "loads by cause\tloads\tadapter at upstream\ttook p50\tp90")
	for _, cause := range keysByCount(l.loads, func(c *loadStats) int { return len(c.durations) }) {
		c := l.loads[cause]
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\n", cause, len(c.durations), len(c.pairs), formatMillis(quantile(c.durations, 0.5)), formatMillis(quantile(c.durations, 0.9)))
	}
	fmt.Fprintf(t, "different adapters\t%d\n\n", len(l.adapters))
	fmt.Fprintln(t, "late by\tanswers\tfirst p50\tplaced p50\ttokens before p50\tprompt p50\tpause p50")
	for _, phase := range keysByCount(l.late, func(k *lateStats) int { return len(k.firstToken) }) {
		k := l.late[phase]
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\t%d\t%s\n", phase, len(k.firstToken), formatMillis(quantile(k.firstToken, 0.5)), formatMillis(quantile(k.placement, 0.5)), quantile(k.earlierTokens, 0.5), quantile(k.promptTokens, 0.5), formatMillis(quantile(k.pause, 0.5)))
	}
	fmt.Fprintln(t, "\nrefused for\trequests\twaited p50\tp90")
	for _, reason := range keysByCount(l.refused, func(waits []time.Duration) int { return len(waits) }) {
		waits := l.refused[reason]
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", reason, len(waits), formatMillis(quantile(waits, 0.5)), formatMillis(quantile(waits, 0.9)))
	}
	if len(l.resumed) > 0 {
		fmt.Fprintln(t, "\nresumed streams refused for\trequests")
	}
	for _, reason := range keysByCount(l.resumed, func(n int) int { return n }) {
		fmt.Fprintf(t, "%s\t%d\n", reason, l.resumed[reason])
	}
	l.byRank.write(t)
	l.largestTenths.write(t)
	if l.droppedLines > 0 {
		fmt.Fprintf(t, "\n%d lines were left out of the logs; the counts above are without them\n", l.droppedLines)
	}
	return t.Flush()
}

// keysByCount returns the keys in descending order of their counts, and by name if equal.
func keysByCount[V any](m map[string]V, count func(V) int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(x, y string) int {
		if d := count(m[y]) - count(m[x]); d != 0 {
			return d
		}
		return strings.Compare(x, y)
	})
	return keys
}

// quantile returns a quantile of a list, such as 0.5 for the median; zero if it is empty.
func quantile[T int | float64 | time.Duration](list []T, q float64) T {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10) + " ms"
}

// duration returns the value of a field as a duration, or zero if it is none.
func (l logLine) duration(field string) time.Duration {
	d, err := time.ParseDuration(l.fields[field])
	if err != nil {
		return 0 // the line has no such field
	}
	return d
}

// number returns the value of a field as an integer, or zero if it is none.
func (l logLine) number(field string) int {
	n, err := strconv.Atoi(l.fields[field])
	if err != nil {
		return 0 // the line has no such field
	}
	return n
}
