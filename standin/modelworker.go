package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ModelWorker is a fake of the platform's model workers and application workers with
// injectable faults: it serves requests, reports and orders. It implements the published
// protocol over HTTP.
//
// A worker's lifetime lasts from its start to its end. A new lifetime has either a new
// id or, under the same id, a later start time.
type ModelWorker struct {
	cfg ModelWorkerConfig

	mu            sync.Mutex
	id            string
	startMS       int64 // start of the lifetime in Unix ms; zero: not reported
	seq           uint64
	fence         int64
	model         bool                 // the base model is loaded
	adapters      map[string]int64     // version by name
	loading       map[string]time.Time // ends of loads in progress, by name
	runs          map[string]int       // number of runs by attempt id
	delayed       int                  // requests delayed by HoldUp before they start
	queue         []*http.Request      // requests that wait for a slot
	running       map[string]int       // requests in progress by attempt id
	faults        WorkerFaults
	slotsExceeded bool                   // an order exceeded the adapter slots or the memory
	newest        map[string]int64       // newest version by adapter
	headers       map[string]http.Header // headers of the latest run by attempt id
	arrivals      []Arrival
	coldUntil     time.Time // end of the cold period
}

// ModelWorkerConfig configures a ModelWorker.
type ModelWorkerConfig struct {
	ID            string
	Model         string // base model; empty: an application worker
	Slots         int    // adapter slots
	MemoryHolds   int    // adapters that the memory holds beside the model; zero: no limit
	LoadTime      time.Duration
	Software      string        // stated in the entry and in the data of events; empty: not stated
	StreamEvents  int           // events of a stream; zero: responses are not streams
	EventInterval time.Duration // between events
	// Crash is called with the path of a request that crashes the worker. It closes the
	// worker's connections and stops or restarts it. If it is nil, only the connection of
	// that request is closed.
	Crash func(path string)
}

// NewModelWorker returns a worker with its base model loaded and no adapters.
func NewModelWorker(cfg ModelWorkerConfig) *ModelWorker {
	return &ModelWorker{
		cfg:      cfg,
		id:       cfg.ID,
		model:    cfg.Model != "",
		adapters: make(map[string]int64),
		loading:  make(map[string]time.Time),
		runs:     make(map[string]int),
		running:  make(map[string]int),
		newest:   make(map[string]int64),
		headers:  make(map[string]http.Header),
	}
}

// SetFaults replaces the faults.
func (m *ModelWorker) SetFaults(f WorkerFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetNewestVersion sets the newest version of an adapter. Later loads load this version.
func (m *ModelWorker) SetNewestVersion(adapter string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest[adapter] = version
}

// Restart starts a new lifetime with the given id. The models, the adapters and the
// fence and sequence number of orders are lost.
func (m *ModelWorker) Restart(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id = id
	m.seq = 0
	m.fence = 0
	m.model = false
	clear(m.adapters)
	clear(m.loading)
}

// RestartSameID starts a new lifetime with the same id. From then on the worker reports the
// start of its lifetime, in Unix milliseconds.
func (m *ModelWorker) RestartSameID(startMS int64) {
	m.mu.Lock()
	id := m.id
	m.startMS = startMS
	m.mu.Unlock()
	m.Restart(id)
}

// ID returns the id of the first lifetime.
func (m *ModelWorker) ID() string {
	return m.cfg.ID
}

// Runs returns how often an attempt ran.
func (m *ModelWorker) Runs(attempt string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[attempt]
}

// Headers returns the request headers of an attempt's latest run, or nil if it did not run.
func (m *ModelWorker) Headers(attempt string) http.Header {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.headers[attempt]
}

// Arrival describes a request that reached a worker, including refused ones.
type Arrival struct {
	At         time.Time
	Attempt    string
	Lifetime   string        // of the worker, as id@start
	Leaving    bool          // the response announces that the worker is leaving
	Rejected   bool          // for lack of capacity
	RetryAfter time.Duration // from the Retry-After header of the refusal; zero: none
}

// Arrivals returns the requests in order of their arrival.
func (m *ModelWorker) Arrivals() []Arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.arrivals)
}

// TotalRuns returns the number of runs.
func (m *ModelWorker) TotalRuns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, k := range m.runs {
		n += k
	}
	return n
}

// Delayed returns the number of requests that HoldUp delays at present.
func (m *ModelWorker) Delayed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delayed
}

// Active returns the number of requests in progress.
func (m *ModelWorker) Active() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active()
}

// active implements Active. The caller holds the lock.
func (m *ModelWorker) active() int {
	n := 0
	for _, k := range m.running {
		n += k
	}
	return n
}

// SlotsExceeded reports whether an order asked for more adapters than the worker has slots or
// memory for.
func (m *ModelWorker) SlotsExceeded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slotsExceeded
}

// Hold makes the worker hold an adapter, as if it had been loaded before.
func (m *ModelWorker) Hold(adapter string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adapters[adapter] = max(m.newest[adapter], 1)
}

// AdapterCount returns the number of loaded adapters.
func (m *ModelWorker) AdapterCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeLoads()
	return len(m.adapters)
}

// defaultSlots is the number of slots that an entry states unless WorkerFaults.Slots is set.
const defaultSlots = 8

// Entry returns the worker's entry for the list of upstreams in the metadata store.
func (m *ModelWorker) Entry(service, addr, zone, state string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	start := ""
	if m.startMS > 0 {
		start = fmt.Sprintf(`,"born":%d`, m.startMS)
	}
	cold := ""
	if remaining := m.coldRemainingMS(); remaining > 0 {
		cold = fmt.Sprintf(`,"cold_left_ms":%d`, remaining)
	}
	software := ""
	if m.cfg.Software != "" {
		software = fmt.Sprintf(`,"version":%q`, m.cfg.Software)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":%q%s,"seq":1%s%s}`, service, addr, zone, cmp.Or(m.faults.Slots, defaultSlots), state, cold, start, software)
}

// SetCold makes the worker report for the duration d that it is cold.
func (m *ModelWorker) SetCold(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldUntil = time.Now().Add(d)
}

// coldRemainingMS returns the remaining time in which the worker is cold, in ms. The
// caller holds the lock.
func (m *ModelWorker) coldRemainingMS() int64 {
	return max(0, time.Until(m.coldUntil).Milliseconds())
}

// completeLoads completes the loads that have ended. The caller holds the lock.
func (m *ModelWorker) completeLoads() {
	for name, end := range m.loading {
		if !time.Now().Before(end) {
			delete(m.loading, name)
			m.adapters[name] = max(m.newest[name], 1)
		}
	}
}

// ServeHTTP implements http.Handler.
func (m *ModelWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	if m.faults.Limit != "" {
		w.Header().Set(HeaderLimit, m.faults.Limit)
	}
	if remaining := m.coldRemainingMS(); remaining > 0 {
		w.Header().Set("X-Wardturn-Cold-Ms", strconv.FormatInt(remaining, 10))
	}
	if m.faults.Leaving != "" {
		w.Header().Set(HeaderLeaving, m.faults.Leaving)
	}
	m.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /wardturn/report":
		m.serveReport(w)
	case "POST /wardturn/order":
		m.serveOrder(w, r)
	default:
		m.serveRequest(w, r)
	}
}

// lateOrderDelay is the delay of a late order. It ends after the keeper's timeout for the
// response.
const lateOrderDelay = 200 * time.Millisecond

// workerOrder is the body of an order.
type workerOrder struct {
	Op       string  `json:"op"`
	Model    string  `json:"model"`
	Adapter  string  `json:"adapter"`
	Expected *uint64 `json:"expected_count"`
	Holder   string  `json:"holder"`
	Fence    int64   `json:"fence"`
}

func (m *ModelWorker) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o workerOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	f := m.faults
	m.mu.Unlock()
	instance := r.Header.Get("X-Wardturn-Expect-Instance")
	if f.LateOrders {
		time.AfterFunc(lateOrderDelay, func() {
			m.executeOrder(o, instance)
		})
	}
	if f.LateOrders || f.LoseOrders {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(m.executeOrder(o, instance))
}

// places returns how many adapters the worker has slots and memory for.
func (m *ModelWorker) places() int {
	if m.cfg.MemoryHolds == 0 {
		return m.cfg.Slots
	}
	return min(m.cfg.Slots, m.cfg.MemoryHolds)
}

// executeOrder executes an order and returns the status of the response.
func (m *ModelWorker) executeOrder(o workerOrder, instance string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeLoads()
	switch {
	case instance != m.id:
		return http.StatusMisdirectedRequest
	case o.Fence < m.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != m.seq:
		return http.StatusConflict
	}
	m.fence = o.Fence
	m.seq++
	if o.Op == "model_unload" {
		delete(m.adapters, o.Adapter)
		return http.StatusOK
	}
	if o.Adapter == "" {
		m.model = true
		return http.StatusAccepted
	}
	if _, loaded := m.adapters[o.Adapter]; !loaded && len(m.adapters)+len(m.loading) >= m.places() {
		m.slotsExceeded = true
	}
	m.loading[o.Adapter] = time.Now().Add(m.cfg.LoadTime)
	return http.StatusAccepted
}
