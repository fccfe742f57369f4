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
	// promptsEvery is how often a gateway writes the sizes of the prompts it was sent: a
	// line for each route that had any. One that is killed loses that much of them.
	promptsEvery = 5 * time.Second
	// promptSteps are the steps in which each doubling of a size is counted, so that the
	// least size of a step is at most an eighth below the others.
	promptSteps = 8
	// promptRoutes bounds the routes that are counted between two lines, and so their
	// memory and lines: the logs take 20 lines of a message at once, and leave out more.
	promptRoutes = 20
)

// prompts count the requests of each route by the size of their prompt, since the line
// before: the logs hold no lines about requests that were served in time, and without
// them nobody can tell which of the lost ones were the largest of their route.
type prompts struct {
	mu     sync.Mutex
	routes map[string]map[int]int // by the least size of a step
}

func newPrompts() *prompts {
	return &prompts{
		routes: make(map[string]map[int]int),
	}
}

// add counts a request whose caller says how long its prompt is.
func (p *prompts) add(route string, prompt wardturn.Tokens) {
	if prompt <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sizes := p.routes[route]
	if sizes == nil {
		if len(p.routes) >= promptRoutes {
			return
		}
		sizes = make(map[int]int)
		p.routes[route] = sizes
	}
	sizes[promptStep(int(prompt))]++
}

// take returns what was counted and starts anew.
func (p *prompts) take() map[string]map[int]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	routes := p.routes
	p.routes = make(map[string]map[int]int)
	return routes
}

// promptStep returns the least size of the step in which a size is counted.
func promptStep(size int) int {
	width := max(1, 1<<(bits.Len(uint(size))-1)/promptSteps)
	return size / width * width
}

// logPrompts writes what was counted since the line before.
func (g *Gateway) logPrompts() {
	for route, sizes := range g.prompts.take() {
		g.logger.Info("prompts of a route", "route", route, "sizes", promptSizes(sizes))
	}
}

// promptSizes writes sizes and their requests as SIZE:REQUESTS, joined by commas.
func promptSizes(sizes map[int]int) string {
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
