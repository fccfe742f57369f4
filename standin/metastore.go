package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MetaStore is a stand-in of the users' metadata store: keyed topics with one
// partition, plain appends, waiting reads, and its troubles. It speaks the
// published protocol over HTTP.
type MetaStore struct {
	mu      sync.Mutex
	topics  map[string]*metaTopic
	changed chan struct{} // closed and replaced at each append
	faults  MetaFaults
	reads   map[string]int // calls that read, by topic
	page    int            // most records of an answer with the newest ones
	era     int            // rises when it comes back from a copy
}

// sizeBytes is the length of a record's length.
const sizeBytes = 4

// newestPage is the most records of one answer of the users' store.
const newestPage = 500

// MetaFaults are the troubles of a MetaStore.
type MetaFaults struct {
	Away   bool          // every call gets 503
	Silent bool          // no call gets an answer
	Lost   bool          // calls are carried out and not answered
	Delay  time.Duration // before each answer
}

type metaTopic struct {
	first   int64 // offset of the oldest record kept
	records [][]byte
	newest  map[string]metaRecord
}

type metaRecord struct {
	value  []byte
	offset int64
}

// NewMetaStore returns an empty store.
func NewMetaStore() *MetaStore {
	return &MetaStore{
		topics:  make(map[string]*metaTopic),
		changed: make(chan struct{}),
		reads:   make(map[string]int),
		page:    newestPage,
		era:     1,
	}
}

// SetFaults replaces the troubles.
func (s *MetaStore) SetFaults(f MetaFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Reads returns how often the operator's records and the list of upstreams were
// read.
func (s *MetaStore) Reads() (operator, servers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads["keyed.op"], s.reads["keyed.servers"]
}

// ReadsOf returns how often a topic was read.
func (s *MetaStore) ReadsOf(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[topic]
}

// topic returns a topic, a new one if there is none; the lock is held.
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

func (t *metaTopic) end() int64 {
	return t.first + int64(len(t.records))
}

// Put writes a record of a key. A nil value drops the key.
func (s *MetaStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.newest[key] = metaRecord{
		value:  value,
		offset: t.end(),
	}
	body := append([]byte{byte(len(key))}, key...)
	s.add(t, append(body, value...))
}

// PutConfig writes the operator's configuration.
func (s *MetaStore) PutConfig(config string) {
	s.Put("keyed.op", "config", []byte(config))
}

// Evacuate writes the operator's word that a failure domain is to get no requests, or takes
// it back.
func (m *MetaStore) Evacuate(domain string, on bool) {
	if !on {
		m.Put("keyed.op", "evacuate/"+domain, nil)
		return
	}
	m.Put("keyed.op", "evacuate/"+domain, []byte("{}"))
}

// PutVersion names the newest version of an adapter.
func (s *MetaStore) PutVersion(model, adapter string, version int64) {
	value := fmt.Appendf(nil, `{"model":%q,"adapter":%q,"version":%d}`, model, adapter, version)
	s.Put("keyed.op", "version/"+model+"."+adapter, value)
}

// CompactConfig drops the history of the operator's records.
func (s *MetaStore) CompactConfig() {
	s.Compact("keyed.op")
}

// PutServer writes the entry of an upstream.
func (s *MetaStore) PutServer(id, entry string) {
	s.Put("keyed.servers", id, []byte(entry))
}

// DropServer drops the entry of an upstream.
func (s *MetaStore) DropServer(id string) {
	s.Put("keyed.servers", id, nil)
}

// DropAll drops every key of a topic.
func (s *MetaStore) DropAll(topic string) {
	s.mu.Lock()
	keys := slices.Collect(maps.Keys(s.topic(topic).newest))
	s.mu.Unlock()
	for _, key := range keys {
		s.Put(topic, key, nil)
	}
}

func (s *MetaStore) add(t *metaTopic, record []byte) {
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops all records; the newest of each key stays known.
func (s *MetaStore) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first = t.end()
	t.records = nil
}

// MetaCopy is a copy of a store's records.
type MetaCopy map[string]*metaTopic

// Copy returns a copy of all records.
func (s *MetaStore) Copy() MetaCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return MetaCopy(s.topics).deep()
}

// deep returns a copy that shares nothing that changes.
func (c MetaCopy) deep() MetaCopy {
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

// Restore has the store go on from a copy: what came after it is gone, and its offsets are
// given out again.
func (s *MetaStore) Restore(c MetaCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = c.deep()
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *MetaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.stamp(w)
	s.mu.Unlock()
	if f.Away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(f.Delay)
	topic := r.URL.Query().Get("topic")
	if r.Method == http.MethodGet {
		s.mu.Lock()
		s.reads[topic]++
		s.mu.Unlock()
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /wardturn/log-newest":
		s.serveNewest(w, topic, r.URL.Query().Get("after"))
	case "GET /wardturn/log-read":
		s.serveRead(w, r, topic)
	case "POST /wardturn/log-append":
		s.serveAppend(w, r, topic, f.Lost)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// stamp names the era in an answer; the lock is held.
func (s *MetaStore) stamp(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}

// SetPage sets the most records of one answer with the newest ones.
func (s *MetaStore) SetPage(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.page = n
}

func (s *MetaStore) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	t := s.topic(topic)
	items := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		rec := t.newest[key]
		if rec.value == nil || key <= after {
			continue
		}
		if len(items) == s.page {
			more = true
			break
		}
		items = append(items, item{
			Key:    key,
			Value:  base64.StdEncoding.EncodeToString(rec.value),
			Offset: rec.offset,
		})
	}
	writeBody(w, map[string]any{
		"items": items,
		"more":  more,
		"end":   t.end(),
	})
}

func writeBody(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *MetaStore) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	late := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.stamp(w)
		t := s.topic(topic)
		changed := s.changed
		if from < t.first || from > t.end() {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < t.end() || wait == 0 {
			body := t.page(from)
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-late:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// page encodes the records from an offset on.
func (t *metaTopic) page(from int64) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	for _, rec := range t.records[from-t.first:] {
		b = binary.BigEndian.AppendUint32(b, uint32(len(rec)))
		b = append(b, rec...)
	}
	return b
}

func (s *MetaStore) serveAppend(w http.ResponseWriter, r *http.Request, topic string, lost bool) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, err := io.ReadAll(r.Body)
	if err != nil || len(records) < sizeBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stamp(w)
	t := s.topic(topic)
	offset := t.end()
	for len(records) >= sizeBytes {
		size := sizeBytes + int(binary.BigEndian.Uint32(records))
		s.append(t, topic, records[sizeBytes:size])
		records = records[size:]
	}
	end := t.end()
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	writeBody(w, map[string]int64{
		"offset": offset,
		"end":    end,
	})
}

// append adds a record of the system to a topic; the lock is held.
func (s *MetaStore) append(t *metaTopic, topic string, record []byte) {
	if strings.HasPrefix(topic, "keyed.") {
		key := 1 + int(record[0])
		newest := metaRecord{
			offset: t.end(),
		}
		if key < len(record) {
			newest.value = record[key:]
		}
		t.newest[string(record[1:key])] = newest
	}
	s.add(t, record)
}
