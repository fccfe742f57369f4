package entry_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/control"
	"wardturn/demo"
	"wardturn/driver"
	"wardturn/entry"
	"wardturn/process"
	"wardturn/standin"
)

// unavailableLog is a log whose reads can be made to fail, as if one process could not reach it.
type unavailableLog struct {
	wardturn.Log
	unavailable atomic.Bool
}

func (l *unavailableLog) Read(ctx context.Context, from wardturn.Offset, limit int, wait time.Duration) (wardturn.LogPage, error) {
	page, err := l.Log.Read(ctx, from, limit, wait)
	if l.unavailable.Load() {
		return wardturn.LogPage{}, wardturn.ErrUnavailable
	}
	return page, err
}

var _ = Describe("An entry that cannot read the log", func() {
	It("gets the configuration from an agent", func() {
		const speed = 10
		clock := standin.NewFastClock(speed)
		cfg := demo.ZurichConfig()
		cfg.Clock = clock
		cfg.Engines = 1
		cfg.Services = 0
		cfg.Entries = 1
		cfg.Adapters = 2
		cfg.HostListDelay = 0
		sys, err := demo.Start(context.Background(), cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sys.Close)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		metrics := process.NewMetrics()
		DeferCleanup(metrics.Close)
		log := &unavailableLog{
			Log: sys.Log,
		}
		e := entry.New(entry.Deps{
			Config: entry.Config{
				Process:        "cut",
				Region:         demo.Region,
				Domain:         "d",
				AllowAnonymous: true,
			},
			Clock:    clock,
			Logger:   hclog.NewNullLogger(),
			Metrics:  entry.NewMetrics(metrics.Scope, metrics.Handler),
			Log:      log,
			Hosts:    driver.NewHostList(sys.HostsAddr),
			Listener: ln,
		})
		DeferCleanup(e.Close)
		Eventually(e.Ready).WithTimeout(20 * time.Second).Should(BeTrue())

		log.unavailable.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		key := control.KeyOf(control.KindAdapter, "a0001")
		old, ok := e.Replica().Get(key)
		Expect(ok).To(BeTrue())
		res, err := sys.Entries[0].Replica().Publish(ctx, control.Change{
			ID: "newer",
			Docs: []control.DocChange{{
				Key:         key,
				BaseVersion: old.Version,
				Body:        []byte("base_model: base\nteam: demo\nversion: 2\n"),
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		currentVersion := func() wardturn.Offset {
			doc, _ := e.Replica().Get(key)
			return doc.Version
		}
		Eventually(currentVersion).WithTimeout(10 * time.Second).Should(Equal(res.Version))

		By("learning the result of its own publication")
		res, err = e.Replica().Publish(ctx, control.Change{
			ID: "own",
			Docs: []control.DocChange{{
				Key:         key,
				BaseVersion: res.Version,
				Body:        []byte("base_model: base\nteam: demo\nversion: 3\n"),
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Accepted).To(BeTrue())

		log.unavailable.Store(false)
		res, err = sys.Entries[0].Replica().Publish(ctx, control.Change{
			ID: "newest",
			Docs: []control.DocChange{{
				Key:         key,
				BaseVersion: res.Version,
				Delete:      true,
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(e.Replica().AppliedOffset).WithTimeout(10 * time.Second).Should(BeNumerically(">=", res.Version))
		_, ok = e.Replica().Get(key)
		Expect(ok).To(BeFalse())
	})
})
