package control_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/control"
	"wardturn/process"
	"wardturn/standin"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

func newReplica(log wardturn.Log) *control.Replica {
	r := control.NewReplica(log, process.Clock{}, hclog.NewNullLogger(), true)
	DeferCleanup(r.Close)
	return r
}

// countingLog counts the records that are read.
type countingLog struct {
	wardturn.Log
	records atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, from wardturn.Offset, limit int, wait time.Duration) (wardturn.LogPage, error) {
	page, err := l.Log.Read(ctx, from, limit, wait)
	l.records.Add(int64(len(page.Records)))
	return page, err
}

func newChange(id string, base wardturn.Offset, body string) control.Change {
	return control.Change{
		ID:     control.PublicationID(id),
		Author: "test",
		Docs: []control.DocChange{{
			Key:         "adapter/a",
			BaseVersion: base,
			Body:        []byte(body),
		}},
	}
}

var _ = Describe("Replica", func() {
	var log *standin.Log
	ctx := context.Background()

	BeforeEach(func() {
		log = standin.NewLog(process.Clock{}, standin.LogConfig{})
	})

	It("accepts exactly one of two concurrent publications in all processes", func() {
		x, y, z := newReplica(log), newReplica(log), newReplica(log)
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for i, r := range []*control.Replica{x, y} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, errs[i] = r.Publish(ctx, newChange(fmt.Sprint("p", i), 0, fmt.Sprint(i)))
			}()
		}
		wg.Wait()
		Expect(errs).To(ContainElement(BeNil()))
		Expect(errs).To(ContainElement(MatchError(control.ErrConflict)))
		Eventually(z.AppliedOffset).Should(BeNumerically(">=", 2))
		want, _ := x.Get("adapter/a")
		for _, r := range []*control.Replica{y, z} {
			got, ok := r.Get("adapter/a")
			Expect(ok).To(BeTrue())
			Expect(got).To(Equal(want))
		}
	})

	It("publishes once when replies are lost", func() {
		appends := 0
		log.SetFaults(standin.LogFaults{
			LoseReply: func() bool {
				appends++
				return appends <= 2
			},
		})
		r := newReplica(log)
		res, err := r.Publish(ctx, newChange("p", 0, "body"))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Version).To(Equal(wardturn.Offset(1)), "offset of the first of the three appends")
		Expect(log.AppendCount()).To(Equal(3))
	})

	It("fails to publish while the log is unavailable, and keeps its documents", func() {
		r := newReplica(log)
		_, err := r.Publish(ctx, newChange("p", 0, "body"))
		Expect(err).NotTo(HaveOccurred())
		log.SetFaults(standin.LogFaults{
			Down: true,
		})
		_, err = r.Publish(ctx, newChange("q", 1, "other"))
		Expect(errors.Is(err, wardturn.ErrUnavailable)).To(BeTrue())
		doc, _ := r.Get("adapter/a")
		Expect(string(doc.Body)).To(Equal("body"))
	})

	It("starts from a snapshot when the first records are out of retention", func() {
		clock := standin.NewClock()
		log = standin.NewLog(clock, standin.LogConfig{
			Retention: time.Hour,
		})
		first := newReplica(log)
		_, err := first.Publish(ctx, newChange("p", 0, "body"))
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(50 * time.Minute)
		Expect(first.AppendSnapshot(ctx)).To(Succeed())
		clock.Advance(20 * time.Minute)
		second := newReplica(log)
		Eventually(func() bool {
			_, ok := second.Get("adapter/a")
			return ok
		}).Should(BeTrue())
		doc, _ := second.Get("adapter/a")
		Expect(doc.Version).To(Equal(wardturn.Offset(1)), "the original version")
	})

	It("starts near the end of a long log, and from the first record if it finds no snapshot", func() {
		first := newReplica(log)
		_, err := first.Publish(ctx, newChange("p", 0, "body"))
		Expect(err).NotTo(HaveOccurred())
		fill := func() {
			for range 21_000 {
				_, err := log.Append(ctx, []byte("another's record"))
				Expect(err).NotTo(HaveOccurred())
			}
		}
		fill()
		recordsRead := func() int {
			counting := &countingLog{
				Log: log,
			}
			r := control.NewReplica(counting, process.Clock{}, hclog.NewNullLogger(), false)
			defer r.Close()
			Eventually(func() bool {
				_, ok := r.Get("adapter/a")
				return ok
			}).WithTimeout(10 * time.Second).Should(BeTrue())
			return int(counting.records.Load())
		}
		Expect(recordsRead()).To(BeNumerically(">", 20_002), "no snapshot: reads the end, then all records")
		Expect(first.AppendSnapshot(ctx)).To(Succeed())
		fill()
		Expect(recordsRead()).To(BeNumerically(">", 20_002), "the snapshot is before the last 20 000 records")
		Expect(first.AppendSnapshot(ctx)).To(Succeed())
		Expect(recordsRead()).To(BeNumerically("<=", 20_002))
	})

	It("never replaces documents by older ones of a peer", func() {
		r := newReplica(log)
		_, err := r.Publish(ctx, newChange("p", 0, "new"))
		Expect(err).NotTo(HaveOccurred())
		old := control.Doc{
			Key:  "adapter/a",
			Body: []byte("old"),
		}
		r.InstallPeerConfig(control.ConfigPage{
			Docs: []control.Doc{old},
		}, 1)
		doc, _ := r.Get("adapter/a")
		Expect(string(doc.Body)).To(Equal("new"))
	})
})

var _ = Describe("Claimer", func() {
	It("lets one of many concurrent claims of a key run and appends them in batches", func() {
		log := standin.NewLog(process.Clock{}, standin.LogConfig{
			Latency: 5 * time.Millisecond,
		})
		const agents, each = 3, 40
		var mu sync.Mutex
		ran := make(map[wardturn.IdempotencyKey]int)
		var wg sync.WaitGroup
		var claimers []*control.Claimer
		created := time.Now()
		for i := range agents {
			c := control.NewClaimer(newReplica(log), process.Clock{}, wardturn.UpstreamID(fmt.Sprint("u", i)), "p")
			claimers = append(claimers, c)
			for j := range each {
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := wardturn.AttemptID{
						Entry: wardturn.Incarnation(fmt.Sprint("e", i)),
						Seq:   uint64(j) + 1,
					}
					key := wardturn.IdempotencyKey(fmt.Sprint("k", j))
					res, err := c.Claim(context.Background(), control.Claim{
						Caller:  "c",
						Key:     key,
						Created: created,
						Attempt: id,
					})
					if err == nil && res.Claim.Attempt == id && !res.TooOld {
						mu.Lock()
						ran[key]++
						mu.Unlock()
					}
				}()
			}
		}
		wg.Wait()
		Expect(ran).To(HaveLen(each))
		for key, n := range ran {
			Expect(n).To(Equal(1), string(key))
		}
		for _, c := range claimers {
			claims, appends := c.Counts()
			Expect(claims).To(Equal(each))
			Expect(appends).To(BeNumerically("<", each/2))
		}
	})
})
