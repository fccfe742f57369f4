package cli

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// readRate is the prefill rate of current engines, in prompt tokens per millisecond. Time
// beyond that which the prompts known at the choice of the engine take at this rate is
// attributed to the engine's other work.
const readRate = 40.0

// lateByBusy is a phase in addition to those of late responses in general: work of the
// engine that was not known when it was chosen.
const lateByBusy = "busy engine"

// lostRequest is a request that was refused or whose response was late.
type lostRequest struct {
	route   string
	adapter string
	prompt  int // tokens
	refused bool
	by      string        // phase that took the most time
	took    time.Duration // time to the first token or to the refusal
}

// tenths has the lost requests of routes whose callers give the size of the prompt. They
// are reported for the largest tenth of the prompts of each route.
type tenths struct {
	lost   map[string][]lostRequest // by route
	sizes  map[string]map[int]int   // requests by route and lower bound of a size bucket
	counts map[string]int           // lines about lost requests by adapter
}

// tenthRow has the lost requests of a route for which one phase took the most time.
type tenthRow struct {
	late    int
	refused int
	prompts []int
	ranks   []int
	took    []time.Duration
}

func newTenths() *tenths {
	return &tenths{
		lost:   make(map[string][]lostRequest),
		sizes:  make(map[string]map[int]int),
		counts: make(map[string]int),
	}
}

// add adds the line of a late response or a refusal.
func (t *tenths) add(line logLine, refused bool) {
	r := lostRequest{
		route:   line.fields["route"],
		adapter: line.fields["adapter"],
		prompt:  line.number("prompt"),
		refused: refused,
		by:      lateByLoad,
		took:    line.duration("waited"),
	}
	if r.adapter != "" {
		t.counts[r.adapter]++
	}
	if r.prompt == 0 || r.route == "" {
		return // a plain service, or the caller gives no prompt size
	}
	if !refused {
		r.took = line.duration("first")
		r.by = tenthBy(r.took, line.duration("placed"), line.duration("pause"), line.number("prefill"), r.prompt)
	}
	t.lost[r.route] = append(t.lost[r.route], r)
}

// tenthBy returns the phase that took the most time of a late response. Prompts that were
// known at the choice of the engine are assumed to take their time at readRate. The rest of
// the time until the first token was the engine's other work: running requests, and prompts
// that arrived later or that no gateway knew of.
func tenthBy(first, placed, pause time.Duration, before, prompt int) string {
	reading := max(first-placed, 0)
	own, others := readTime(prompt), readTime(before)
	if total := own + others; total > reading {
		own = time.Duration(float64(own) / float64(total) * float64(reading))
		others = reading - own
	}
	kind, most := lateByLoad, placed
	for _, c := range []struct {
		kind string
		took time.Duration
	}{
		{
			kind: lateByBefore,
			took: others,
		},
		{
			kind: lateByPrompt,
			took: own,
		},
		{
			kind: lateByBusy,
			took: reading - own - others,
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

func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

// ranks returns the rank of each adapter by its number of lines, 1 for the most.
func (t *tenths) ranks() map[string]int {
	ranks := make(map[string]int, len(t.counts))
	for i, adapter := range byCount(t.counts, func(n int) int { return n }) {
		ranks[adapter] = i + 1
	}
	return ranks
}

// addSizes adds a line with the number of requests by prompt size of a route.
func (t *tenths) addSizes(line logLine) {
	route := line.fields["route"]
	sizes := t.sizes[route]
	if sizes == nil {
		sizes = make(map[int]int)
		t.sizes[route] = sizes
	}
	for entry := range strings.SplitSeq(line.fields["sizes"], ",") {
		size, requests, _ := strings.Cut(entry, ":")
		least, err := strconv.Atoi(size)
		if err != nil {
			continue // the line was truncated
		}
		n, err := strconv.Atoi(requests)
		if err != nil {
			continue
		}
		sizes[least] += n
	}
}

// begins returns the least prompt size of the largest tenth of a route and the number of
// requests in it; zero if the logs do not have the sizes. It may be less than a tenth, since
// sizes are counted in buckets.
func (t *tenths) begins(route string) (from, requests int) {
	sizes := t.sizes[route]
	total := 0
	steps := make([]int, 0, len(sizes))
	for step, n := range sizes {
		steps = append(steps, step)
		total += n
	}
	slices.Sort(steps)
	for _, step := range slices.Backward(steps) {
		if (requests+sizes[step])*10 > total {
			break
		}
		requests += sizes[step]
		from = step
	}
	return from, requests
}

// write prints the table if the logs have prompt sizes.
func (t *tenths) write(w io.Writer) {
	if len(t.sizes) == 0 {
		return
	}
	fmt.Fprintln(w, "\nlargest tenth of route\tfrom tokens\trequests\tlate\trefused\tmost of the time\tprompt p50\tadapter's rank p50\ttook p50")
	ranks := t.ranks()
	for _, route := range byCount(t.lost, func(l []lostRequest) int { return len(l) }) {
		from, requests := t.begins(route)
		if from == 0 {
			continue
		}
		rows := tenthRows(t.lost[route], from, ranks)
		for _, by := range byCount(rows, func(r *tenthRow) int { return r.late + r.refused }) {
			fmt.Fprintf(w, "%s\t%d\t%d\t", route, from, requests)
			rows[by].write(w, by)
		}
	}
}

func tenthRows(lost []lostRequest, from int, ranks map[string]int) map[string]*tenthRow {
	rows := make(map[string]*tenthRow)
	for _, r := range lost {
		if r.prompt < from {
			continue
		}
		row := rows[r.by]
		if row == nil {
			row = &tenthRow{}
			rows[r.by] = row
		}
		if r.refused {
			row.refused++
		} else {
			row.late++
		}
		row.prompts = append(row.prompts, r.prompt)
		row.took = append(row.took, r.took)
		if r.adapter != "" {
			row.ranks = append(row.ranks, ranks[r.adapter])
		}
	}
	return rows
}

func (r *tenthRow) write(w io.Writer, by string) {
	rank := "none"
	if len(r.ranks) > 0 {
		rank = strconv.Itoa(quantile(r.ranks, 0.5))
	}
	fmt.Fprintf(w, "%d\t%d\t%s\t%d\t%s\t%s\n", r.late, r.refused, by, quantile(r.prompts, 0.5), rank, millis(quantile(r.took, 0.5)))
}
