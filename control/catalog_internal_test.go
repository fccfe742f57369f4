package control

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"wardturn"
	"wardturn/process"
	"wardturn/standin"
)

// TestCatalogKeepsNewerDocument checks that, of two concurrent loads of a document, one
// that read the older version does not overwrite the newer one.
func TestCatalogKeepsNewerDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	log := standin.NewLog(process.Clock{}, standin.LogConfig{})
	r := NewReplica(log, process.Clock{}, hclog.NewNullLogger(), false)
	t.Cleanup(r.Close)
	publish := func(id PublicationID, base wardturn.Offset, body string) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := r.Publish(ctx, Change{
			ID: id,
			Docs: []DocChange{{
				Key:         "adapter/a",
				BaseVersion: base,
				Body:        []byte(body),
			}},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	publish("p1", 0, "{base_model: m, team: t, version: 1}")
	// The catalog does not watch the replica: only the load below writes to it.
	c := &Catalog{
		replica:  r,
		adapters: make(map[wardturn.AdapterID]AdapterDoc),
	}
	c.mu.RLock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.update("adapter/a")
	}()
	g.Eventually(func() bool {
		free := c.mu.TryRLock()
		if free {
			c.mu.RUnlock()
		}
		return free
	}).WithTimeout(10*time.Second).Should(gomega.BeFalse(), "the load waits for the write lock")
	publish("p2", 1, "{base_model: m, team: t, version: 2}")
	c.mu.RUnlock()
	g.Eventually(ended).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
	doc, ok := c.Adapter("a")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(doc.Version).To(gomega.Equal(wardturn.Version(2)))
}
