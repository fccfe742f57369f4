package gateway

import (
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wardturn"
)

const (
	// promptLogInterval is the interval at which a gateway logs the sizes of the prompts it
	// received: a line for each route that had any. A gateway that is killed loses the
	// counts of one interval.
	promptLogInterval = 5 * time.Second
	// promptBuckets is the number of buckets in each doubling of the size. With eight, the
	// lower bound of a bucket is at most an eighth below the sizes in it.
	promptBuckets = 8
	// maxPromptRoutes bounds the routes that are counted in an interval, and so the
	// memory and the log lines: the log takes 20 lines of one message at once and drops
	// the others.
	maxPromptRoutes = 20
)

// promptCounts counts the requests of each route by prompt size since they were logged
// last. Requests that were served in time have no log lines of their own; without these
// counts the logs would not show whether the lost requests were the largest of their route.
type promptCounts struct {
	mu     sync.Mutex
	routes map[string]map[int]int // counts by route and lower bound of the bucket
}

func newPromptCounts() *promptCounts {
	return &promptCounts{
		routes: make(map[string]map[int]int),
	}
}

// add counts a request whose caller states the size of its prompt.
func (p *promptCounts) add(route string, prompt wardturn.Tokens) {
	if prompt <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sizes := p.routes[route]
	if sizes == nil {
		if len(p.routes) >= maxPromptRoutes {
			return
		}
		sizes = make(map[int]int)
		p.routes[route] = sizes
	}
	sizes[promptBucket(int(prompt))]++
}

// reset returns the counts and resets them.
func (p *promptCounts) reset() map[string]map[int]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	routes := p.routes
	p.routes = make(map[string]map[int]int)
	return routes
}

// promptBucket returns the lower bound of the bucket in which a size is counted.
func promptBucket(size int) int {
	width := max(1, 1<<(bits.Len(uint(size))-1)/promptBuckets)
	return size / width * width
}

// logPromptCounts logs the counts since they were logged last.
func (g *Gateway) logPromptCounts() {
	for route, sizes := range g.promptCounts.reset() {
		g.logger.Info("prompts of a route", "route", route, "sizes", formatPromptCounts(sizes))
	}
}

// formatPromptCounts formats sizes and their counts as SIZE:COUNT, joined by commas.
func formatPromptCounts(sizes map[int]int) string {
	list := make([]int, 0, len(sizes))
	for size := range sizes {
		list = append(list, size)
	}
	slices.Sort(list)
	var text strings.Builder
	for i, size := range list {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(size) + ":" + strconv.Itoa(sizes[size]))
	}
	return text.String()
}
