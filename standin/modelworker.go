package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ModelWorker is a stand-in of the users' model workers and application workers:
// requests with their receipts, reports, orders, and its troubles. It speaks
// the published protocol over HTTP.
type ModelWorker struct {
	cfg ModelWorkerConfig

	mu       sync.Mutex
	id       string
	born     int64 // Unix ms of its start; zero: it does not tell
	seq      uint64
	fence    int64
	model    bool
	adapters map[string]int64     // version by name
	coming   map[string]time.Time // when it is there
	runs     map[string]int       // runs by attempt id
	held     int                  // requests that have arrived and not begun
	running  map[string]int       // requests being worked on, by attempt id
	faults   WorkerFaults
	fell     bool
	newest   map[string]int64
	headers  map[string]http.Header // of the latest run, by attempt id
	arrivals []Arrival
	coldTo   time.Time
}

// ModelWorkerConfig says what a worker is.
type ModelWorkerConfig struct {
	ID       string
	Model    string // empty: an application worker
	Slots    int    // of adapters
	LoadTime time.Duration
	Pieces   int           // events of a stream
	Pause    time.Duration // between events
	// Crash ends the worker's connections, and takes its address away or starts it again;
	// called with the path of a request that crashes it. With nil only the connection of
	// that request ends.
	Crash func(path string)
}

// WorkerFaults are the troubles of a worker.
type WorkerFaults struct {
	LoseOrders  bool          // orders are neither carried out nor answered
	LateOrders  bool          // orders are not answered and carried out later, if they still fit then
	LoseAnswers bool          // requests are run and not answered
	Stranger    bool          // an answer to another request comes first
	CutAfter    int           // events after which streams break off; zero: never
	CutFresh    int           // the same, of streams that are not resumed
	Full        bool          // requests are rejected
	Error       bool          // requests run and fail
	HoldUp      time.Duration // between the arrival of a request and its begin
	Think       time.Duration // before the first byte of an answer
	Linger      time.Duration // between two events of a stream, beside the usual pause
	HideRuns    bool          // reports do not name the runs
	CrashOn     string        // a request with this body crashes the worker as it begins; empty: none does
	Fresh       StreamShape   // of streams that are not resumed
	Resumed     StreamShape   // of those that are
	Limit       string        // requests a second that answers name; empty: none
	Leaving     string        // header of all answers that says, as 1, that it leaves; empty: none
	RetryAfter  []string      // headers of that name in refusals
}

// NewModelWorker returns a worker that holds its base model and no adapters.
func NewModelWorker(cfg ModelWorkerConfig) *ModelWorker {
	return &ModelWorker{
		cfg:      cfg,
		id:       cfg.ID,
		model:    cfg.Model != "",
		adapters: make(map[string]int64),
		coming:   make(map[string]time.Time),
		runs:     make(map[string]int),
		running:  make(map[string]int),
		newest:   make(map[string]int64),
		headers:  make(map[string]http.Header),
	}
}

// SetFaults replaces the troubles.
func (m *ModelWorker) SetFaults(f WorkerFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Name names a new version of an adapter.
func (m *ModelWorker) Name(adapter string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest[adapter] = version
}

// Restart begins a new lifetime: the worker is empty and has forgotten orders.
func (m *ModelWorker) Restart(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id = id
	m.seq = 0
	m.fence = 0
	m.model = false
	clear(m.adapters)
	clear(m.coming)
}

// StartAgain begins a new lifetime under the id that the worker has. From then on it
// tells its start, in Unix milliseconds.
func (m *ModelWorker) StartAgain(born int64) {
	m.mu.Lock()
	id := m.id
	m.born = born
	m.mu.Unlock()
	m.Restart(id)
}

// ID returns the id with which the worker first started.
func (m *ModelWorker) ID() string {
	return m.cfg.ID
}

// Runs returns how often an attempt ran.
func (m *ModelWorker) Runs(attempt string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[attempt]
}

// Headers returns the headers of an attempt's latest run; nil if it did not run.
func (m *ModelWorker) Headers(attempt string) http.Header {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.headers[attempt]
}

// Arrival is a request that reached a worker, also one that it refused.
type Arrival struct {
	At         time.Time
	Attempt    string
	Lifetime   string        // of the worker
	Leaving    bool          // the answer says that the worker leaves
	RetryAfter time.Duration // that the refusal asked for; zero: none
}

// Arrivals returns the requests that arrived, in order.
func (m *ModelWorker) Arrivals() []Arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.arrivals)
}

// Total returns how many requests ran.
func (m *ModelWorker) Total() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, k := range m.runs {
		n += k
	}
	return n
}

// Held returns how many requests have arrived and not begun.
func (m *ModelWorker) Held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Active returns how many requests are being worked on.
func (m *ModelWorker) Active() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active()
}

// active is Active; the lock is held.
func (m *ModelWorker) active() int {
	n := 0
	for _, k := range m.running {
		n += k
	}
	return n
}

// Fell reports whether an order asked for more than the worker can hold.
func (m *ModelWorker) Fell() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fell
}

// Adapters returns the adapters that it holds.
func (m *ModelWorker) Adapters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	return len(m.adapters)
}

// Entry returns the worker's entry in the store.
func (m *ModelWorker) Entry(service, addr, zone, state string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	born := ""
	if m.born > 0 {
		born = fmt.Sprintf(`,"born":%d`, m.born)
	}
	cold := ""
	if left := m.coldMS(); left > 0 {
		cold = fmt.Sprintf(`,"cold_left_ms":%d`, left)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":8,"state":%q%s,"seq":1%s}`, service, addr, zone, state, cold, born)
}

// TurnCold has the worker say for a while that it is cold.
func (m *ModelWorker) TurnCold(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldTo = time.Now().Add(d)
}

// coldMS returns how much longer the worker is cold; the lock is held.
func (m *ModelWorker) coldMS() int64 {
	return max(0, time.Until(m.coldTo).Milliseconds())
}

// settle completes the loads that are due; the lock is held.
func (m *ModelWorker) settle() {
	for name, at := range m.coming {
		if !time.Now().Before(at) {
			delete(m.coming, name)
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
	if left := m.coldMS(); left > 0 {
		w.Header().Set("X-Wardturn-Cold-Ms", strconv.FormatInt(left, 10))
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

func (m *ModelWorker) serveReport(w http.ResponseWriter) {
	type model struct {
		Name     string   `json:"name"`
		Version  int64    `json:"version"`
		Adapters []string `json:"adapters"`
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	models := []model{}
	if m.model {
		adapters := []string{}
		for name, v := range m.adapters {
			adapters = append(adapters, name+"@"+strconv.FormatInt(v, 10))
		}
		models = append(models, model{
			Name:     m.cfg.Model,
			Version:  1,
			Adapters: adapters,
		})
	}
	coming := []string{}
	for name := range m.coming {
		coming = append(coming, m.cfg.Model+"/"+name+"@1")
	}
	if m.born == 0 {
		w.Header().Set("X-Wardturn-Instance-Id", m.id)
	}
	report := map[string]any{
		"stage":    "dual",
		"models":   models,
		"seq":      m.seq,
		"active":   m.active(),
		"kv_total": 1000,
		"coming":   coming,
	}
	if m.born > 0 {
		report["born"] = m.born
	}
	if !m.faults.HideRuns {
		report["runs"] = m.runRows()
	}
	writeBody(w, report)
}

// runRows returns the runs as a report names them: id, tokens in memory, events made
// and priority. Only the id is told truly. The lock is held.
func (m *ModelWorker) runRows() [][]any {
	rows := [][]any{}
	for id := range m.running {
		rows = append(rows, []any{id, 0, 0, 5})
	}
	return rows
}

// lateOrder is how much later a late order is carried out: after the keeper has
// given up on its answer.
const lateOrder = 200 * time.Millisecond

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
		time.AfterFunc(lateOrder, func() {
			m.take(o, instance)
		})
	}
	if f.LateOrders || f.LoseOrders {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(m.take(o, instance))
}

// take carries an order out and returns the status of the answer.
func (m *ModelWorker) take(o workerOrder, instance string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
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
	if _, held := m.adapters[o.Adapter]; !held && len(m.adapters)+len(m.coming) >= m.cfg.Slots {
		m.fell = true
	}
	m.coming[o.Adapter] = time.Now().Add(m.cfg.LoadTime)
	return http.StatusAccepted
}
