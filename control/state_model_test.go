package control_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wardturn"
	"wardturn/control"
)

// TestMain makes the model checks deterministic: it sets the seed, the number of checks
// and the number of steps unless flags do.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("300")
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("60") // a fault can take several events to show
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// logModel models a log with retention and several processes that read it at different
// speeds, start late and restart. Publications conflict and are repeated after lost
// replies. Snapshots contain what the process that appends them has read.
type logModel struct {
	now       time.Time
	log       []wardturn.LogRecord
	first     int // index of the oldest record retained
	readers   []*reader
	reference *control.State // reads every record as it is appended
	sent      []control.Change
	accepted  map[control.Key]wardturn.Offset // highest version that reference ever had
	created   map[string]time.Time            // creation times of idempotency keys
	ran       map[string]int
	next      uint64
}

type reader struct {
	state *control.State
	seen  map[control.Key]wardturn.Offset
}

const (
	modelKeys    = 3
	modelReaders = 3
)

func newLogModel() *logModel {
	m := &logModel{
		now:       start,
		reference: control.NewState(true),
		accepted:  make(map[control.Key]wardturn.Offset),
		created:   make(map[string]time.Time),
		ran:       make(map[string]int),
	}
	for range modelReaders {
		m.readers = append(m.readers, newReader())
	}
	return m
}

func newReader() *reader {
	return &reader{
		state: control.NewState(true),
		seen:  make(map[control.Key]wardturn.Offset),
	}
}

func (m *logModel) append(t *rapid.T, rec control.Record) {
	data, err := control.EncodeRecord(rec)
	if err != nil {
		t.Fatal(err)
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	lr := wardturn.LogRecord{
		Offset: wardturn.Offset(len(m.log) + 1),
		Time:   m.now,
		Data:   data,
	}
	m.log = append(m.log, lr)
	m.reference.Apply(lr)
	for _, d := range m.reference.Docs("") {
		m.accepted[d.Key] = max(m.accepted[d.Key], d.Version)
	}
}

// Publish publishes a change that is based on the documents of one process.
func (m *logModel) Publish(t *rapid.T) {
	r := m.readers[rapid.IntRange(0, modelReaders-1).Draw(t, "by")]
	m.next++
	c := control.Change{
		ID:     control.PublicationID(fmt.Sprint(m.next)),
		Author: "model",
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "docs") {
		key := control.Key(fmt.Sprintf("adapter/a%d", (rapid.IntRange(0, modelKeys-1).Draw(t, "key")+i)%modelKeys))
		have, _ := r.state.Get(key)
		c.Docs = append(c.Docs, control.DocChange{
			Key:         key,
			BaseVersion: have.Version,
			Delete:      have.Version > 0 && rapid.IntRange(0, 3).Draw(t, "delete") == 0,
			Body:        []byte(fmt.Sprint(m.next)),
		})
	}
	m.sent = append(m.sent, c)
	m.append(t, control.Record{
		Change: &c,
	})
}

// Repeat appends the newest publication again, as after a lost reply.
func (m *logModel) Repeat(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing published")
	}
	c := m.sent[len(m.sent)-1]
	before := len(m.reference.Docs(""))
	m.append(t, control.Record{
		Change: &c,
	})
	if len(m.reference.Docs("")) != before {
		t.Fatal("a repeated publication changed the documents")
	}
}

// Snapshot appends a snapshot of one process, in one or two parts.
func (m *logModel) Snapshot(t *rapid.T) {
	r := m.readers[rapid.IntRange(0, modelReaders-1).Draw(t, "by")]
	if !r.state.HasBaseline() {
		t.Skip("no baseline")
	}
	docs := r.state.Docs("")
	through := r.state.AppliedOffset()
	parts := rapid.IntRange(1, 2).Draw(t, "parts")
	for i := range parts {
		snap := control.Snapshot{
			Through: through,
			Part:    i,
			Parts:   parts,
			Results: r.state.RecentResults(),
		}
		for j, d := range docs {
			if j%parts == i {
				snap.Docs = append(snap.Docs, d)
			}
		}
		m.append(t, control.Record{
			Snapshot: &snap,
		})
	}
}

// Drop ends the retention of old records, but only of those that a snapshot covers, as
// snapshots are appended before the retention of their documents' records ends.
func (m *logModel) Drop(t *rapid.T) {
	covered := 0
	for i := len(m.log) - 1; i >= 0 && covered == 0; i-- {
		rec, err := control.DecodeRecord(m.log[i].Data)
		if err == nil && rec.Snapshot != nil && rec.Snapshot.Parts == 1 {
			covered = int(rec.Snapshot.Through)
		}
	}
	if covered <= m.first {
		t.Skip("nothing to drop")
	}
	m.first = rapid.IntRange(m.first, covered).Draw(t, "first")
}

// Read lets a process read up to 5 records.
func (m *logModel) Read(t *rapid.T) {
	r := m.readers[rapid.IntRange(0, modelReaders-1).Draw(t, "who")]
	n := rapid.IntRange(1, 5).Draw(t, "records")
	m.read(r, n)
}

func (m *logModel) read(r *reader, n int) {
	next := int(r.state.ReadOffset())
	if next < m.first {
		r.state.SkipTo(wardturn.Offset(m.first + 1))
		next = m.first
	}
	for i := next; i < min(next+n, len(m.log)); i++ {
		r.state.Apply(m.log[i])
	}
}

// Restart replaces a process by one with an empty state.
func (m *logModel) Restart(t *rapid.T) {
	m.readers[rapid.IntRange(0, modelReaders-1).Draw(t, "who")] = newReader()
}

// Claim appends a claim for an agent, lets the agent read up to it, and counts a run if
// the claim allows it.
func (m *logModel) Claim(t *rapid.T) {
	r := m.readers[rapid.IntRange(0, modelReaders-1).Draw(t, "by")]
	key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
	m.next++
	id := wardturn.AttemptID{
		Entry: "model",
		Seq:   m.next,
	}
	created, ok := m.created[key]
	if !ok {
		created = m.now.Add(time.Duration(rapid.IntRange(-90, 90).Draw(t, "created")) * time.Second)
		m.created[key] = created
	}
	m.append(t, control.Record{
		ClaimBatch: &control.ClaimBatch{
			Upstream: "u",
			Claims: []control.Claim{{
				Caller:  "c",
				Key:     wardturn.IdempotencyKey(key),
				Digest:  "d",
				Created: created,
				Attempt: id,
			}},
		},
	})
	m.read(r, len(m.log))
	res, ok := r.state.FirstClaim("c", wardturn.IdempotencyKey(key))
	if ok && res.Claim.Attempt == id && !res.TooOld {
		m.ran[key]++
	}
}

// Check verifies after every step that no key ran twice, that no process replaced a
// document by an older one or has a version that was never accepted, and that processes
// that have read the whole log have the same documents.
func (m *logModel) Check(t *rapid.T) {
	for key, n := range m.ran {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for i, r := range m.readers {
		for _, d := range r.state.Docs("") {
			if d.Version < r.seen[d.Key] {
				t.Fatalf("process %d went back from %d to %d for %s", i, r.seen[d.Key], d.Version, d.Key)
			}
			r.seen[d.Key] = d.Version
			if d.Version > m.accepted[d.Key] {
				t.Fatalf("process %d holds version %d of %s, which was never accepted", i, d.Version, d.Key)
			}
		}
		if int(r.state.AppliedOffset()) == len(m.log) {
			m.compare(t, i, r)
		}
	}
}

// compare checks that a process that has read the whole log has the documents of
// reference.
func (m *logModel) compare(t *rapid.T, i int, r *reader) {
	want := m.reference.Docs("")
	got := r.state.Docs("")
	if len(want) != len(got) {
		t.Fatalf("process %d has %d documents, want %d", i, len(got), len(want))
	}
	for j := range want {
		if want[j].Key != got[j].Key || want[j].Version != got[j].Version {
			t.Fatalf("process %d has %s at %d, want %s at %d", i, got[j].Key, got[j].Version, want[j].Key, want[j].Version)
		}
	}
}

func TestLogModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newLogModel()))
	})
}
