package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/driver"
	"wardturn/peer"
	"wardturn/policy"
	"wardturn/process"
	"wardturn/standin"
)

// perRun is how long each timed loop runs.
const perRun = 200 * time.Millisecond

// timed returns the nanoseconds that one call of f takes. It runs the loop three
// times and takes the fastest: the machine is shared.
func timed(f func(i int)) float64 {
	best := 0.0
	for range 3 {
		n := 0
		start := time.Now()
		for time.Since(start) < perRun {
			for range 64 {
				f(n)
				n++
			}
		}
		ns := float64(time.Since(start).Nanoseconds()) / float64(n)
		if best == 0 || ns < best {
			best = ns
		}
	}
	return best
}

const adaptersLarge = 45_000

func ref(i int) wardturn.AdapterRef {
	return wardturn.AdapterRef{
		Adapter: wardturn.AdapterID(fmt.Sprintf("a%05d", i%adaptersLarge)),
		Version: 1,
	}
}

func hosts(n int) []wardturn.Host {
	list := make([]wardturn.Host, 0, n)
	for i := range n {
		list = append(list, wardturn.Host{
			Upstream: wardturn.UpstreamID(fmt.Sprintf("u%04d", i)),
			Addr:     "127.0.0.1:1",
			Region:   "r",
			Domain:   wardturn.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Model:    "m",
		})
	}
	return list
}

// Routing measures a routing decision with its bookkeeping, by the number of
// upstreams among which it chooses.
func Routing() Series {
	s := Series{
		Name: "routing decision",
		Size: "upstreams",
		Unit: "ns",
	}
	refs := make([]wardturn.AdapterRef, adaptersLarge)
	for i := range refs {
		refs[i] = ref(i)
	}
	for _, n := range []int{18, 262, 1000, 2100} {
		r := decide.NewRouter(decide.RouterConfig{
			Region: "r",
		})
		r.SetHosts(hosts(n))
		now := standin.Epoch
		cost := timed(func(i int) {
			now = now.Add(time.Millisecond)
			id, _ := r.Pick(now, decide.Ask{
				Adapter: refs[(i*7919)%len(refs)],
				Model:   "m",
			})
			r.Sent(id)
			r.Ended(now, id, true)
			r.Hint(now, id, decide.Hint{
				Capacity: 16,
				Spare:    4,
			})
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s
}

// Agent measures an agent's decisions for one request, from admission to end, by
// the number of adapters that it remembers.
func Agent() Series {
	s := Series{
		Name: "agent decisions for a request",
		Size: "adapters remembered",
		Unit: "ns",
	}
	for _, n := range []int{100, 1000, 5000} {
		s.Points = append(s.Points, Point{float64(n), agentCost(n)})
	}
	return s
}

func agentCost(adapters int) float64 {
	now := standin.Epoch
	a := decide.NewAgent(now, decide.AgentConfig{
		Upstream:   "u",
		Slots:      8,
		MaxRunning: 16,
	}, policy.Default{}, decide.NewStaticPermits(decide.StoreLimit{
		Rate:     1e9,
		Parallel: 8,
	}, 1))
	var out decide.Orders
	a.Report(now, wardturn.EngineReport{
		At: now,
	}, &out)
	var carry func()
	carry = func() {
		orders := out
		out = decide.Orders{}
		for _, o := range orders.Unload {
			a.Unloaded(now, o.ID, decide.OrderDone, &out)
			carry()
		}
		for _, o := range orders.Load {
			a.Loaded(now, o.ID, decide.OrderDone, &out)
			carry()
		}
		for _, st := range orders.Run {
			a.Finished(now, st.Attempt, &out)
			carry()
		}
	}
	return timed(func(i int) {
		now = now.Add(time.Millisecond)
		a.Admit(now, decide.Work{
			Attempt: wardturn.AttemptID{
				Entry: "e",
				Seq:   uint64(i) + 1,
			},
			Adapter: ref((i * 7919) % adapters),
		}, &out)
		carry()
	})
}

// Allocating measures the allocator's answer to one wish, by the number of
// agents that share the store.
func Allocating() Series {
	s := Series{
		Name: "allocator's answer to a wish",
		Size: "agents",
		Unit: "ns",
	}
	for _, n := range []int{18, 262, 1000, 2100} {
		l := decide.NewAllocator(decide.StoreLimit{
			Rate:     9,
			Parallel: 4,
		}, 1)
		hs := hosts(n)
		now := standin.Epoch
		var grants []decide.Grant
		cost := timed(func(i int) {
			now = now.Add(time.Millisecond)
			grants = l.Wish(now, decide.Wish{
				Upstream: hs[i%n].Upstream,
				Value:    float64(i % 97),
				Want:     1,
			}, grants[:0])
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s
}

// Memory measures the heap that a process's configuration takes, replica and
// catalog, by the number of adapters.
func Memory() (Series, error) {
	s := Series{
		Name: "configuration in memory",
		Size: "adapters",
		Unit: "bytes",
	}
	for _, n := range []int{3000, 15_000, 45_000} {
		used, err := configMemory(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), used})
	}
	return s, nil
}

func configMemory(adapters int) (float64, error) {
	log := standin.NewLog(process.Clock{}, standin.LogConfig{})
	ctx := context.Background()
	records := 0
	for at := 0; at < adapters; at += 500 {
		c := control.Change{
			ID: control.PublicationID(fmt.Sprint(at)),
		}
		for i := at; i < min(at+500, adapters); i++ {
			c.Docs = append(c.Docs, control.DocChange{
				Key:  control.KeyOf(control.KindAdapter, string(ref(i).Adapter)),
				Body: []byte("base_model: base\nteam: demo\nversion: 1\n"),
			})
		}
		data, err := control.Encode(control.Record{
			Change: &c,
		})
		if err != nil {
			return 0, err
		}
		if _, err := log.Append(ctx, data); err != nil {
			return 0, err
		}
		records++
	}
	before := heap()
	r := control.NewReplica(log, process.Clock{}, hclog.NewNullLogger(), false)
	defer r.Close()
	c := control.NewCatalog(r)
	if err := r.WaitFor(ctx, wardturn.Offset(records)); err != nil {
		return 0, err
	}
	used := heap() - before
	runtime.KeepAlive(c)
	return used, nil
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// hinter answers each heartbeat with a hint, as an agent does.
type hinter struct{}

// Handle implements peer.Handler.
func (hinter) Handle(c *peer.Conn, m peer.Message) {
	if _, ok := m.(*peer.Ping); ok {
		_ = c.Send(&peer.Hint{
			Upstream: "u0001",
			Hint: decide.Hint{
				Running:  3,
				Capacity: 16,
				Spare:    4,
			},
		})
	}
}

// Closed implements peer.Handler.
func (hinter) Closed(*peer.Conn, error) {}

// Connected implements peer.ClientHandler.
func (hinter) Connected(*peer.Conn) {}

// Links measures the bytes a second, in both directions together, that an entry
// spends on connections to agents that rest, by their number. TCP's own headers
// are added at four segments of 66 bytes for each heartbeat: the question, an
// answer in up to two parts, and an acknowledgement.
func Links() (Series, error) {
	s := Series{
		Name: "idle connections of an entry",
		Size: "connections",
		Unit: "bytes/s",
	}
	for _, n := range []int{20, 100, 300} {
		rate, err := linkBytes(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), rate})
	}
	return s, nil
}

const (
	linkSpeed  = 10 // of the clock
	linkPeriod = 5 * time.Second
	// perHeartbeat is what TCP and IP add to a heartbeat.
	perHeartbeat = 4 * 66
	// heartbeats is their number a second on a connection that rests.
	heartbeats = 1.0 / 10
	// restAfter is the time until a connection that carries nothing rests.
	restAfter = 60 * time.Second
)

func linkBytes(n int) (float64, error) {
	clock := standin.NewFastClock(linkSpeed)
	var bytes atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "capacity")
	}
	id := peer.Identity{
		Process: "p",
		Config:  func() wardturn.Offset { return 1 },
	}
	server := peer.NewServer(countingListener{ln, &bytes}, nil, clock, id, hinter{})
	defer server.Close()
	clients := make([]*peer.Client, 0, n)
	for range n {
		clients = append(clients, peer.NewClient(ln.Addr().String(), nil, clock, id, hinter{}))
	}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	time.Sleep(restAfter / linkSpeed)
	before := bytes.Load()
	time.Sleep(linkPeriod)
	payload := float64(bytes.Load()-before) / (linkPeriod.Seconds() * linkSpeed)
	return payload + float64(n)*heartbeats*perHeartbeat, nil
}

// Force measures the time from the start of a publication until it is in force
// in every process, by their number. Each reads the log over loopback.
func Force() (Series, error) {
	s := Series{
		Name: "configuration in force everywhere",
		Size: "processes",
		Unit: "ms",
	}
	for _, n := range []int{20, 100, 300} {
		ms, err := forceTime(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), ms})
	}
	return s, nil
}

func forceTime(n int) (float64, error) {
	log := standin.NewLog(process.Clock{}, standin.LogConfig{
		Latency: 10 * time.Millisecond,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "capacity")
	}
	defer standin.Serve(ln, standin.LogHandler(log))()
	replicas := make([]*control.Replica, 0, n)
	for range n {
		replicas = append(replicas, control.NewReplica(driver.NewLog(ln.Addr().String()), process.Clock{}, hclog.NewNullLogger(), false))
	}
	defer func() {
		var wg sync.WaitGroup
		for _, r := range replicas {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.Close()
			}()
		}
		wg.Wait()
	}()
	worst := 0.0
	const rounds = 5
	ctx := context.Background()
	for i := range rounds {
		start := time.Now()
		res, err := replicas[i%n].Publish(ctx, control.Change{
			ID: control.PublicationID(fmt.Sprint(i)),
			Docs: []control.DocChange{{
				Key:  control.Key(fmt.Sprintf("adapter/a%d", i)),
				Body: []byte("base_model: base\nversion: 1\n"),
			}},
		})
		if err != nil {
			return 0, err
		}
		for _, r := range replicas {
			if err := r.WaitFor(ctx, res.Version); err != nil {
				return 0, err
			}
		}
		worst = max(worst, float64(time.Since(start).Microseconds())/1000)
	}
	return worst, nil
}

// Claims measures the log records that carry the claims of one agent, by the
// claims a second, at a latency of 10 ms for an append.
func Claims() (Series, error) {
	s := Series{
		Name: "log records for claims of one agent",
		Size: "claims/s",
		Unit: "records/s",
	}
	for _, rate := range []int{5, 50, 200, 800} {
		n, err := claimRecords(rate)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(rate), n})
	}
	return s, nil
}

func claimRecords(rate int) (float64, error) {
	log := standin.NewLog(process.Clock{}, standin.LogConfig{
		Latency: 10 * time.Millisecond,
	})
	r := control.NewReplica(log, process.Clock{}, hclog.NewNullLogger(), true)
	defer r.Close()
	c := control.NewClaimer(r, process.Clock{}, "u", "p")
	const period = 2 * time.Second
	var wg sync.WaitGroup
	var failed atomic.Int64
	n := int(period.Seconds()) * rate
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * period / time.Duration(n))
		time.Sleep(time.Until(due))
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := c.Claim(context.Background(), control.Claim{
				Caller:  "c",
				Key:     wardturn.IdempotencyKey(fmt.Sprint(i)),
				Created: start,
				Attempt: wardturn.AttemptID{
					Entry: "e",
					Seq:   uint64(i) + 1,
				},
			})
			if err != nil {
				failed.Add(1)
			}
		}()
	}
	wg.Wait()
	if failed.Load() > 0 {
		return 0, errors.Newf("capacity: %d of %d claims failed", failed.Load(), n)
	}
	return float64(log.Appends()) / period.Seconds(), nil
}

// Applying measures the processor time of one process for one configuration
// change, by the documents in force.
func Applying() (Series, error) {
	s := Series{
		Name: "applying one configuration change",
		Size: "documents in force",
		Unit: "ns",
	}
	for _, n := range []int{3000, 15_000, 45_000} {
		state := control.NewState(false)
		offset := wardturn.Offset(0)
		apply := func(id string, doc control.DocChange) error {
			data, err := control.Encode(control.Record{
				Change: &control.Change{
					ID:   control.PublicationID(id),
					Docs: []control.DocChange{doc},
				},
			})
			offset++
			state.Apply(wardturn.LogRecord{
				Offset: offset,
				Time:   standin.Epoch,
				Data:   data,
			})
			return err
		}
		for i := range n {
			err := apply(fmt.Sprint("new", i), control.DocChange{
				Key:  control.KeyOf(control.KindAdapter, string(ref(i).Adapter)),
				Body: []byte("base_model: base\nteam: demo\nversion: 1\n"),
			})
			if err != nil {
				return s, err
			}
		}
		key := control.KeyOf(control.KindAdapter, string(ref(0).Adapter))
		cost := timed(func(int) {
			d, _ := state.Get(key)
			_ = apply(fmt.Sprint("change", offset), control.DocChange{
				Key:  key,
				Base: d.Version,
				Body: d.Body,
			})
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s, nil
}
