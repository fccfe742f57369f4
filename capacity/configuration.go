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
	"wardturn/driver"
	"wardturn/process"
	"wardturn/standin"
)

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
