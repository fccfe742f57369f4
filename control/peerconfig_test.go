package control_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/control"
	"wardturn/process"
	"wardturn/standin"
)

// watchedKeys records the keys of the documents for which a watcher was called.
type watchedKeys struct {
	mu   sync.Mutex
	keys []control.Key
}

func (t *watchedKeys) add(k control.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = append(t.keys, k)
}

func (t *watchedKeys) take() []control.Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.keys
	t.keys = nil
	return keys
}

// docAt returns a document that was published at an offset.
func docAt(key control.Key, version wardturn.Offset, body string) control.Doc {
	return control.Doc{
		Key:     key,
		Version: version,
		Body:    []byte(body),
	}
}

var _ = Describe("Replica.Seed", func() {
	It("calls the watchers for deleted documents too", func() {
		log := standin.NewLog(process.Clock{}, standin.LogConfig{})
		log.SetFaults(standin.LogFaults{
			Down: true,
		})
		r := newReplica(log)
		var t watchedKeys
		r.Watch(t.add)
		catalog := control.NewCatalog(r)
		r.InstallPeerConfig(control.ConfigPage{
			Docs: []control.Doc{
				docAt("adapter/a", 1, "{base_model: m, team: t, version: 1}"),
				docAt("caller/c", 2, "{team: t, key_digests: [d]}"),
			},
		}, 10)
		Expect(t.take()).To(ConsistOf(control.Key("adapter/a"), control.Key("caller/c")))
		_, known := catalog.CallerByKeyDigest("d")
		Expect(known).To(BeTrue())

		r.InstallPeerConfig(control.ConfigPage{
			Docs: []control.Doc{
				docAt("adapter/a", 1, "{base_model: m, team: t, version: 1}"),
			},
		}, 20)
		Expect(t.take()).To(ContainElement(control.Key("caller/c")))
		_, known = catalog.CallerByKeyDigest("d")
		Expect(known).To(BeFalse(), "the key of a caller that was deleted")
	})

	It("ignores a configuration if records after it were skipped", func() {
		const peerAt, first = 200, 250
		record := func(offset wardturn.Offset, base wardturn.Offset, body string) wardturn.LogRecord {
			c := newChange(body, base, body)
			data, err := control.EncodeRecord(control.Record{
				Change: &c,
			})
			Expect(err).NotTo(HaveOccurred())
			return wardturn.LogRecord{
				Offset: offset,
				Data:   data,
			}
		}
		s := control.NewState(false)
		s.SkipTo(first)
		// The skipped record at 230 published version 230, which the record at
		// 250 replaces.
		s.Apply(record(first, 230, "newest"))
		s.InstallPeerConfig(control.ConfigPage{
			Docs: []control.Doc{
				docAt("adapter/a", 100, "old"),
			},
		}, peerAt)
		Expect(s.HasBaseline()).To(BeFalse())
		Expect(s.AppliedOffset()).To(BeZero(), "the current version at 250 is unknown")
	})
})
