package cli

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// prefillRate is the prefill rate of current engines, in prompt tokens per millisecond.
// The part of the prefill time that the prompts known at the choice of the engine do not
// explain at this rate is attributed to the engine's other work.
const prefillRate = 40.0

// phaseBusyEngine is a phase in addition to those of late responses in general: work of
// the engine that was not known when it was chosen.
const phaseBusyEngine = "busy engine"

// lostRequest is a request that was refused or whose response was late.
type lostRequest struct {
	route        string
	adapter      string
	promptTokens int
	refused      bool
	phase        string        // phase that took the most time
	duration     time.Duration // time to the first token or to the refusal
}

// largestTenths has the lost requests of routes whose callers give the size of the
// prompt. They are reported for the largest tenth of the prompts of each route.
type largestTenths struct {
	lost           map[string][]lostRequest // by route
	requestsBySize map[string]map[int]int   // requests by route and lower bound of a size bucket
	linesByAdapter map[string]int           // lines about lost requests by adapter
}

// tenthRow has the lost requests of a route for which one phase took the most time.
type tenthRow struct {
	late         int
	refused      int
	promptTokens []int
	ranks        []int
	durations    []time.Duration
}

func newLargestTenths() *largestTenths {
	return &largestTenths{
		lost:           make(map[string][]lostRequest),
		requestsBySize: make(map[string]map[int]int),
		linesByAdapter: make(map[string]int),
	}
}

// add adds the line of a late response or a refusal.
func (t *largestTenths) add(line logLine, refused bool) {
	r := lostRequest{
		route:        line.fields["route"],
		adapter:      line.fields["adapter"],
		promptTokens: line.number("prompt"),
		refused:      refused,
		phase:        phaseWait,
		duration:     line.duration("waited"),
	}
	if r.adapter != "" {
		t.linesByAdapter[r.adapter]++
	}
	if r.promptTokens == 0 || r.route == "" {
		return // a plain service, or the caller gives no prompt size
	}
	if !refused {
		r.duration = line.duration("first")
		r.phase = longestPhaseByRate(r.duration, line.duration("placed"), line.duration("turn"), line.duration("pause"), line.number("prefill"), r.promptTokens)
	}
	t.lost[r.route] = append(t.lost[r.route], r)
}

// longestPhaseByRate returns the phase that took the most time of a late response.
// Prompts that were known at the choice of the engine are assumed to be processed at
// prefillRate. The rest of the time until the first token is attributed to the engine's
// other work: running requests, and prompts that arrived later or that no gateway knew
// of.
func longestPhaseByRate(firstToken, placement, turn, pause time.Duration, earlierTokens, promptTokens int) string {
	prefill := max(firstToken-placement-turn, 0)
	ownPrefill, earlierPrefill := prefillTime(promptTokens), prefillTime(earlierTokens)
	if total := ownPrefill + earlierPrefill; total > prefill {
		ownPrefill = time.Duration(float64(ownPrefill) / float64(total) * float64(prefill))
		earlierPrefill = prefill - ownPrefill
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
			took:  earlierPrefill,
		},
		{
			phase: phaseOwnPrompt,
			took:  ownPrefill,
		},
		{
			phase: phaseBusyEngine,
			took:  prefill - ownPrefill - earlierPrefill,
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

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
}

// adapterRanks returns the rank of each adapter by its number of lines, 1 for the most.
func (t *largestTenths) adapterRanks() map[string]int {
	ranks := make(map[string]int, len(t.linesByAdapter))
	for i, adapter := range keysByCount(t.linesByAdapter, func(n int) int { return n }) {
		ranks[adapter] = i + 1
	}
	return ranks
}

// addSizes adds a line with the number of requests by prompt size of a route.
func (t *largestTenths) addSizes(line logLine) {
	route := line.fields["route"]
	sizes := t.requestsBySize[route]
	if sizes == nil {
		sizes = make(map[int]int)
		t.requestsBySize[route] = sizes
	}
	for entry := range strings.SplitSeq(line.fields["sizes"], ",") {
		size, requests, _ := strings.Cut(entry, ":")
		lowerBound, err := strconv.Atoi(size)
		if err != nil {
			continue // the line was truncated
		}
		n, err := strconv.Atoi(requests)
		if err != nil {
			continue
		}
		sizes[lowerBound] += n
	}
}

// threshold returns the least prompt size of the largest tenth of a route and the number
// of requests in it, or zero if the logs do not have the sizes. The result may cover less
// than a tenth, since sizes are counted in buckets.
func (t *largestTenths) threshold(route string) (minTokens, requests int) {
	sizes := t.requestsBySize[route]
	total := 0
	lowerBounds := make([]int, 0, len(sizes))
	for lowerBound, n := range sizes {
		lowerBounds = append(lowerBounds, lowerBound)
		total += n
	}
	slices.Sort(lowerBounds)
	for _, lowerBound := range slices.Backward(lowerBounds) {
		if (requests+sizes[lowerBound])*10 > total {
			break
		}
		requests += sizes[lowerBound]
		minTokens = lowerBound
	}
	return minTokens, requests
}

// write prints the table if the logs have prompt sizes.
func (t *largestTenths) write(w io.Writer) {
	if len(t.requestsBySize) == 0 {
		return
	}
	fmt.Fprintln(w, "\nlargest tenth of route\tfrom tokens\trequests\tlate\trefused\tmost of the time\tprompt p50\tadapter's rank p50\ttook p50")
	ranks := t.adapterRanks()
	for _, route := range keysByCount(t.lost, func(l []lostRequest) int { return len(l) }) {
		minTokens, requests := t.threshold(route)
		if minTokens == 0 {
			continue
		}
		rows := tenthRows(t.lost[route], minTokens, ranks)
		for _, phase := range keysByCount(rows, func(r *tenthRow) int { return r.late + r.refused }) {
			fmt.Fprintf(w, "%s\t%d\t%d\t", route, minTokens, requests)
			rows[phase].write(w, phase)
		}
	}
}

func tenthRows(lost []lostRequest, minTokens int, ranks map[string]int) map[string]*tenthRow {
	rows := make(map[string]*tenthRow)
	for _, r := range lost {
		if r.promptTokens < minTokens {
			continue
		}
		row := rows[r.phase]
		if row == nil {
			row = &tenthRow{}
			rows[r.phase] = row
		}
		if r.refused {
			row.refused++
		} else {
			row.late++
		}
		row.promptTokens = append(row.promptTokens, r.promptTokens)
		row.durations = append(row.durations, r.duration)
		if r.adapter != "" {
			row.ranks = append(row.ranks, ranks[r.adapter])
		}
	}
	return rows
}

func (r *tenthRow) write(w io.Writer, phase string) {
	rank := "none"
	if len(r.ranks) > 0 {
		rank = strconv.Itoa(quantile(r.ranks, 0.5))
	}
	fmt.Fprintf(w, "%d\t%d\t%s\t%d\t%s\t%s\n", r.late, r.refused, phase, quantile(r.promptTokens, 0.5), rank, formatMillis(quantile(r.durations, 0.5)))
}
