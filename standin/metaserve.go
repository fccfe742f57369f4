package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (s *MetaStore) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraHeader(w)
	t := s.topic(topic)
	items := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		rec := t.newest[key]
		if rec.value == nil || key <= after {
			continue
		}
		if len(items) == s.pageSize {
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
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.setEraHeader(w)
		t := s.topic(topic)
		changed := s.changed
		if from < t.first || from > t.end() {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeBody(w, map[string]int64{
				"first": first,
			})
			return
		}
		if from < t.end() || wait == 0 {
			body := t.encodeFrom(from, s.maxRead)
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodeFrom encodes the records starting at an offset, up to a number of bytes but at least
// one record.
func (t *metaTopic) encodeFrom(from int64, maxBytes int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	start := len(b)
	for _, rec := range t.records[from-t.first:] {
		if len(b) > start && len(b)-start+lengthPrefixBytes+len(rec) > maxBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(rec)))
		b = append(b, rec...)
	}
	return b
}

func (s *MetaStore) serveAppend(w http.ResponseWriter, r *http.Request, topic string, loseReply bool) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, err := io.ReadAll(r.Body)
	if err != nil || len(records) < lengthPrefixBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.setEraHeader(w)
	t := s.topic(topic)
	offset := t.end()
	for len(records) >= lengthPrefixBytes {
		size := lengthPrefixBytes + int(binary.BigEndian.Uint32(records))
		s.appendClientRecord(t, topic, records[lengthPrefixBytes:size])
		records = records[size:]
	}
	end := t.end()
	s.mu.Unlock()
	if loseReply {
		<-r.Context().Done()
		return
	}
	writeBody(w, map[string]int64{
		"offset": offset,
		"end":    end,
	})
}

// appendClientRecord adds a record that a client appended. The caller holds the lock.
func (s *MetaStore) appendClientRecord(t *metaTopic, topic string, record []byte) {
	if strings.HasPrefix(topic, "keyed.") {
		valueStart := 1 + int(record[0])
		newest := metaRecord{
			offset: t.end(),
		}
		if valueStart < len(record) {
			newest.value = record[valueStart:]
		}
		t.newest[string(record[1:valueStart])] = newest
	}
	s.appendRecord(t, record)
}
