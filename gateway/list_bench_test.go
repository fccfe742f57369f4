package gateway

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
	"wardturn/platform"
	"wardturn/process"
)

const (
	listEngines = 148
	listPlain   = 2852
	listPage    = 500 // entries per response of the store
)

// listStore returns a store client whose server returns a list of upstreams from prepared
// responses.
func listStore(b *testing.B) *platform.Store {
	b.Helper()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	pages := make(map[string][]byte)
	after := ""
	var items []item
	flush := func(more bool) {
		data, err := json.Marshal(map[string]any{"items": items, "more": more, "end": listEngines + listPlain})
		if err != nil {
			b.Fatal(err)
		}
		pages[after] = data
		after = items[len(items)-1].Key
		items = nil
	}
	for i := range listEngines + listPlain {
		value := fmt.Sprintf(`{"service":"app","address":"10.%d.%d.%d:8080","zone":"zrh-oerlikon","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":%d}`, 100+i%5, i/250, i%250, i)
		if i < listEngines {
			value = fmt.Sprintf(`{"service":"llm","address":"127.0.1.%d:8080","zone":"zrh-oerlikon","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"stage":"dual","models":[{"name":"daka510000","version":1,"adapters":["a@1","b@1","c@1"]}],"seq":%d}`, 1+i, i)
		}
		items = append(items, item{
			Key:    fmt.Sprintf("i-%08x", i*2654435761%(1<<32)),
			Value:  base64.StdEncoding.EncodeToString([]byte(value)),
			Offset: int64(i),
		})
		if len(items) == listPage {
			flush(i+1 < listEngines+listPlain)
		}
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(pages[r.URL.Query().Get("after")])
	}))
	b.Cleanup(s.Close)
	return platform.NewStore(s.Listener.Addr().String(), tally.NoopScope)
}

// newListGateway returns a gateway without background goroutines.
func newListGateway(b *testing.B, logger hclog.Logger) *Gateway {
	b.Helper()
	g := &Gateway{
		clock:  process.Clock{},
		logger: logger,
		cfg: Config{
			Domain:     "zrh-oerlikon",
			KeeperPort: "1",
		},
		tasks: process.NewTasks(process.Clock{}),
		fleet: decide.NewFleet(decide.FleetConfig{}),
	}
	g.links = newLinks(g)
	table := &wardturn.RouteTable{
		Version: 1,
		Services: map[wardturn.ServiceName]wardturn.ServiceSpec{
			"llm": {
				Engine: &wardturn.EngineSpec{},
			},
			"app": {},
		},
	}
	g.fleet.SetTable(table)
	g.routes.Store(newRoutes(table))
	return g
}

func listLogger() hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{
		Level:  hclog.Info,
		Output: io.Discard,
	})
	return process.NewRateLimitedLogger(l, process.Clock{}, process.LogRates{
		Default: 20,
	})
}

// BenchmarkWholeList measures the steps of processing the initial list of 3,000 upstreams when
// a gateway starts.
func BenchmarkWholeList(b *testing.B) {
	store := listStore(b)
	logger := listLogger()
	var list wardturn.MemberList
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var err error
			list, err = platform.NewMemberReader(store, process.Clock{}, logger).Next(nil)
			if err != nil || len(list.Members) != listEngines+listPlain {
				b.Fatal(len(list.Members), err)
			}
		}
	})
	b.Run("parts", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			g := newListGateway(b, logger)
			if _, err := platform.NewMemberReader(store, process.Clock{}, logger).Next(g.receivePartialMembers); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("roster", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			newMembership(nil, process.Clock{}, logger, time.Second).merge(time.Now(), list)
		}
	})
	b.Run("fleet", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f := decide.NewFleet(decide.FleetConfig{})
			f.SetMembers(time.Now(), list.Members)
		}
	})
	b.Run("fleet and links", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			g := newListGateway(b, logger)
			g.fleet.SetMembers(time.Now(), list.Members)
			g.links.update()
			b.StopTimer()
			g.links.close()
			b.StartTimer()
		}
	})
}
