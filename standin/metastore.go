package standin

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// MetaStore is a fake of the platform's metadata store with injectable faults: keyed
// topics with one partition, appends and long-polling reads. It implements the
// published protocol over HTTP.
type MetaStore struct {
	mu       sync.Mutex
	topics   map[string]*metaTopic
	changed  chan struct{} // closed and replaced at each append
	faults   MetaFaults
	reads    map[string]int // number of read calls by topic
	pageSize int            // maximum number of items in a response of log-newest
	maxRead  int            // maximum number of bytes of the records in a response of log-read
	era      int            // incremented by each restore from a copy
}

// lengthPrefixBytes is the size of a record's length prefix.
const lengthPrefixBytes = 4

const (
	// newestPageSize is the page size of log-newest in the platform's store.
	newestPageSize = 500
	// maxReadBytes is the maximum size of a response of log-read in the platform's store.
	maxReadBytes = 1 << 20
)

// MetaFaults are the faults of a MetaStore.
type MetaFaults struct {
	Unavailable   bool          // every call is answered with 503
	NoResponse    bool          // no call is answered
	LoseResponses bool          // appends are executed and not answered
	Delay         time.Duration // before each response
}

type metaTopic struct {
	first   int64 // offset of the oldest retained record
	records [][]byte
	newest  map[string]metaRecord // by key
}

type metaRecord struct {
	value  []byte
	offset int64
}

// NewMetaStore returns an empty store.
func NewMetaStore() *MetaStore {
	return &MetaStore{
		topics:   make(map[string]*metaTopic),
		changed:  make(chan struct{}),
		reads:    make(map[string]int),
		pageSize: newestPageSize,
		maxRead:  maxReadBytes,
		era:      1,
	}
}

// SetFaults replaces the faults.
func (s *MetaStore) SetFaults(f MetaFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// KeyedReads returns the numbers of read calls for the operator's records and for the list
// of upstreams.
func (s *MetaStore) KeyedReads() (operator, servers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads["keyed.op"], s.reads["keyed.servers"]
}

// TopicReads returns the number of read calls for a topic.
func (s *MetaStore) TopicReads(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[topic]
}

// topic returns a topic and creates it if it does not exist. The caller holds the lock.
func (s *MetaStore) topic(name string) *metaTopic {
	t := s.topics[name]
	if t == nil {
		t = &metaTopic{
			newest: make(map[string]metaRecord),
		}
		s.topics[name] = t
	}
	return t
}

// end returns the offset of the next record.
func (t *metaTopic) end() int64 {
	return t.first + int64(len(t.records))
}

// Put writes a record for a key. A nil value deletes the key.
func (s *MetaStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.newest[key] = metaRecord{
		value:  value,
		offset: t.end(),
	}
	body := append([]byte{byte(len(key))}, key...)
	s.appendRecord(t, append(body, value...))
}

// PutConfig writes the operator's configuration.
func (s *MetaStore) PutConfig(config string) {
	s.Put("keyed.op", "config", []byte(config))
}

// SetEvacuated writes the operator's record that a failure domain must get no requests, or
// deletes it.
func (s *MetaStore) SetEvacuated(domain string, on bool) {
	if !on {
		s.Put("keyed.op", "evacuate/"+domain, nil)
		return
	}
	s.Put("keyed.op", "evacuate/"+domain, []byte("{}"))
}

// PutVersion writes the newest version of an adapter.
func (s *MetaStore) PutVersion(model, adapter string, version int64) {
	value := fmt.Appendf(nil, `{"model":%q,"adapter":%q,"version":%d}`, model, adapter, version)
	s.Put("keyed.op", "version/"+model+"."+adapter, value)
}

// CompactConfig drops the history of the operator's topic.
func (s *MetaStore) CompactConfig() {
	s.Compact("keyed.op")
}

// PutServer writes the entry of an upstream.
func (s *MetaStore) PutServer(id, entry string) {
	s.Put("keyed.servers", id, []byte(entry))
}

// DeleteServer deletes the entry of an upstream.
func (s *MetaStore) DeleteServer(id string) {
	s.Put("keyed.servers", id, nil)
}

// DeleteAll deletes all keys of a topic.
func (s *MetaStore) DeleteAll(topic string) {
	s.mu.Lock()
	keys := slices.Collect(maps.Keys(s.topic(topic).newest))
	s.mu.Unlock()
	for _, key := range keys {
		s.Put(topic, key, nil)
	}
}

// appendRecord appends a record to a topic and wakes waiting readers. The caller holds
// the lock.
func (s *MetaStore) appendRecord(t *metaTopic, record []byte) {
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops all records of a topic but keeps the newest value of each key.
func (s *MetaStore) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first = t.end()
	t.records = nil
}

// MetaCopy is a copy of the records of a MetaStore by topic.
type MetaCopy map[string]*metaTopic

// Copy returns a copy of all records.
func (s *MetaStore) Copy() MetaCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return MetaCopy(s.topics).clone()
}

// clone returns a deep copy. Records are shared, since they do not change.
func (c MetaCopy) clone() MetaCopy {
	out := make(MetaCopy, len(c))
	for name, t := range c {
		out[name] = &metaTopic{
			first:   t.first,
			records: slices.Clone(t.records),
			newest:  maps.Clone(t.newest),
		}
	}
	return out
}

// Restore restores the store from a copy, as after a recovery from a backup. Later
// records are lost, and their offsets are assigned again.
func (s *MetaStore) Restore(c MetaCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = c.clone()
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *MetaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.setEraHeader(w)
	s.mu.Unlock()
	if f.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.NoResponse {
		<-r.Context().Done()
		return
	}
	time.Sleep(f.Delay)
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := query.Get("topic")
	if r.Method == http.MethodGet {
		s.mu.Lock()
		s.reads[topic]++
		s.mu.Unlock()
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /wardturn/log-newest":
		s.serveNewest(w, topic, query.Get("after"))
	case "GET /wardturn/log-read":
		s.serveRead(w, r, topic)
	case "POST /wardturn/log-append":
		s.serveAppend(w, r, topic, f.LoseResponses)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// setEraHeader sets the era in the header of a response. The caller holds the lock.
func (s *MetaStore) setEraHeader(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}

// SetPageSize sets the maximum number of items in a response of log-newest.
func (s *MetaStore) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// SetMaxRead sets the maximum number of bytes of the records in a response of log-read. A
// response has at least one record.
func (s *MetaStore) SetMaxRead(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxRead = n
}
