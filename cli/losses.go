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
	return newLosses(lines).write(s.Out)
}

// losses has statistics of the log lines about adapter loads, late responses and refusals.
type losses struct {
	loads    map[string]*loadLosses // by cause
	adapters map[string]bool
	late     map[string]*lateLosses     // by the phase that took the most time
	refused  map[string][]time.Duration // time before the refusal, by reason
	tenths   *tenths
	leftOut  int // lines dropped by the rate limits of the logs
}

// loadLosses has the adapter loads of one cause.
type loadLosses struct {
	took  []time.Duration
	pairs map[string]bool // adapter and upstream, separated by a space
}

// lateLosses has the late responses for which one phase took the most time.
type lateLosses struct {
	first  []time.Duration // time from arrival to the first token
	placed []time.Duration // part of first until an upstream was chosen
	before []int           // tokens of earlier prompts that the upstream had yet to prefill
	prompt []int           // tokens of the request's own prompt
	pause  []time.Duration // longest pause between two events of the stream
}

// The phases of a late response that may have taken the most time.
const (
	lateByLoad   = "adapter or place"
	lateByBefore = "prompts before"
	lateByPrompt = "own prompt"
	lateByPause  = "pause"
)

func newLosses(lines []logLine) *losses {
	l := &losses{
		loads:    make(map[string]*loadLosses),
		adapters: make(map[string]bool),
		late:     make(map[string]*lateLosses),
		refused:  make(map[string][]time.Duration),
		tenths:   newTenths(),
	}
	for _, line := range lines {
		l.leftOut += line.number("left_out")
		switch {
		case strings.Contains(line.text, ": adapter there:"):
			l.addLoad(line)
		case strings.Contains(line.text, ": late:"):
			l.addLate(line)
			l.tenths.add(line, false)
		case strings.Contains(line.text, ": refused:"):
			reason := line.fields["reason"]
			l.refused[reason] = append(l.refused[reason], line.duration("waited"))
			l.tenths.add(line, true)
		case strings.Contains(line.text, ": prompts of a route:"):
			l.tenths.addSizes(line)
		}
	}
	return l
}

func (l *losses) addLoad(line logLine) {
	c := l.loads[line.fields["cause"]]
	if c == nil {
		c = &loadLosses{
			pairs: make(map[string]bool),
		}
		l.loads[line.fields["cause"]] = c
	}
	adapter := line.fields["adapter"]
	c.took = append(c.took, line.duration("took"))
	c.pairs[adapter+" "+line.fields["upstream"]] = true
	l.adapters[adapter] = true
}

func (l *losses) addLate(line logLine) {
	first, placed, pause := line.duration("first"), line.duration("placed"), line.duration("pause")
	before, prompt := line.number("prefill"), line.number("prompt")
	kind := lateKind(first, placed, pause, before, prompt)
	k := l.late[kind]
	if k == nil {
		k = &lateLosses{}
		l.late[kind] = k
	}
	k.first = append(k.first, first)
	k.placed = append(k.placed, placed)
	k.pause = append(k.pause, pause)
	k.before = append(k.before, before)
	k.prompt = append(k.prompt, prompt)
}

// lateKind returns the phase that took the most time of a late response. The time from the
// choice of an upstream to the first token is divided between earlier prompts and the
// request's own in proportion to their tokens.
func lateKind(first, placed, pause time.Duration, before, prompt int) string {
	reading := max(first-placed, 0)
	own := reading
	if total := before + prompt; total > 0 {
		own = time.Duration(float64(reading) * float64(prompt) / float64(total))
	}
	kind, most := lateByLoad, placed
	for _, c := range []struct {
		kind string
		took time.Duration
	}{
		{
			kind: lateByBefore,
			took: reading - own,
		},
		{
			kind: lateByPrompt,
			took: own,
		},
		{
			kind: lateByPause,
			took: pause,
		},
	} {
		if c.took > most {
			kind, most = c.kind, c.took
		}
	}
	return kind
}

// write prints the statistics as tables.
func (l *losses) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "loads by cause\tloads\tadapter at upstream\ttook p50\tp90")
	for _, cause := range byCount(l.loads, func(c *loadLosses) int { return len(c.took) }) {
		c := l.loads[cause]
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\n", cause, len(c.took), len(c.pairs), millis(quantile(c.took, 0.5)), millis(quantile(c.took, 0.9)))
	}
	fmt.Fprintf(t, "different adapters\t%d\n\n", len(l.adapters))
	fmt.Fprintln(t, "late by\tanswers\tfirst p50\tplaced p50\ttokens before p50\tprompt p50\tpause p50")
	for _, kind := range byCount(l.late, func(k *lateLosses) int { return len(k.first) }) {
		k := l.late[kind]
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\t%d\t%s\n", kind, len(k.first), millis(quantile(k.first, 0.5)), millis(quantile(k.placed, 0.5)), quantile(k.before, 0.5), quantile(k.prompt, 0.5), millis(quantile(k.pause, 0.5)))
	}
	fmt.Fprintln(t, "\nrefused for\trequests\twaited p50\tp90")
	for _, reason := range byCount(l.refused, func(waits []time.Duration) int { return len(waits) }) {
		waits := l.refused[reason]
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", reason, len(waits), millis(quantile(waits, 0.5)), millis(quantile(waits, 0.9)))
	}
	l.tenths.write(t)
	if l.leftOut > 0 {
		fmt.Fprintf(t, "\n%d lines were left out of the logs; the counts above are without them\n", l.leftOut)
	}
	return t.Flush()
}

// byCount returns the keys in descending order of their counts, and by name if equal.
func byCount[V any](m map[string]V, count func(V) int) []string {
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
func quantile[T int | time.Duration](list []T, part float64) T {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

func millis(d time.Duration) string {
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
