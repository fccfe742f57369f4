package control

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// ClaimWindow is how long a claim is remembered, in the log's time. A key that
// was created longer ago is refused.
const ClaimWindow = 10 * time.Minute

// KeySkew is how far the clock by which a key was created may be ahead of the
// log's.
const KeySkew = time.Minute

const (
	// publicationsKept bounds the publications whose results are remembered.
	publicationsKept = 4096
	// resultsInSnapshot bounds those that a snapshot passes on. A publisher
	// repeats itself only within seconds.
	resultsInSnapshot = 256
)

// Result says what became of a publication.
type Result struct {
	ID       PublicationID   `msgpack:"i"`
	Accepted bool            `msgpack:"a"`
	Version  wardturn.Offset `msgpack:"v"`           // of the record
	Conflict Key             `msgpack:"c,omitempty"` // the first document whose version differed
	InForce  wardturn.Offset `msgpack:"f,omitempty"` // that document's version
}

// ClaimResult says who claimed a key first.
type ClaimResult struct {
	Claim    Claim
	Upstream wardturn.UpstreamID
	Process  wardturn.Incarnation
	Offset   wardturn.Offset
	TooOld   bool // the key was created before the remembered window
}

// State is the fold of the log's records. It is not safe for concurrent use.
//
// A process that cannot read the log from its first record has no base: it does
// not know which versions were in force, so it cannot tell which publications
// were accepted. It keeps them until a whole snapshot gives it a base, then
// replays those that came after. Until then it holds the documents that it held
// before. A process with a base has no use for snapshots and ignores them.
type State struct {
	read     wardturn.Offset // newest record taken
	applied  wardturn.Offset // the documents are those in force after this record
	from     wardturn.Offset // every record since this one was taken
	based    bool
	backlog  []pendingChange // while there is no base
	logTime  time.Time
	snapAt   time.Time // of the newest whole snapshot
	snapRead wardturn.Offset
	docs     map[Key]Doc
	claims   map[claimKey]ClaimResult
	order    []claimKey // of claims, by offset
	gap      bool       // records before the next one were not read
	horizon  time.Time  // claims before this may have been missed
	starts   map[wardturn.UpstreamID]wardturn.Offset
	results  map[PublicationID]Result
	recent   []PublicationID
	history  []Entry
	partial  map[wardturn.Offset]*partial
	keepAll  bool
	onChange func(Key)
}

type claimKey struct {
	caller wardturn.CallerID
	key    wardturn.IdempotencyKey
}

// pendingChange is a publication that waits for a base.
type pendingChange struct {
	record wardturn.LogRecord
	change *Change
}

// partial is a snapshot whose parts are still coming.
type partial struct {
	have    map[int]bool
	docs    map[Key]Doc
	results []Result
}

// NewState returns the fold of an empty log. Claims are kept only if asked for:
// entry hosts do not need them.
func NewState(keepClaims bool) *State {
	return &State{
		from:     1,
		based:    true,
		docs:     make(map[Key]Doc),
		claims:   make(map[claimKey]ClaimResult),
		starts:   make(map[wardturn.UpstreamID]wardturn.Offset),
		results:  make(map[PublicationID]Result),
		partial:  make(map[wardturn.Offset]*partial),
		keepAll:  keepClaims,
		onChange: func(Key) {},
	}
}

// Read returns the offset of the newest record taken.
func (s *State) Read() wardturn.Offset {
	return s.read
}

// Based reports whether the documents follow the log.
func (s *State) Based() bool {
	return s.based
}

// Applied returns the offset of the record after which the documents held were
// in force. Without a base it lags behind Read.
func (s *State) Applied() wardturn.Offset {
	return s.applied
}

// Get returns a document in force.
func (s *State) Get(key Key) (Doc, bool) {
	d, ok := s.docs[key]
	return d, ok
}

// Docs returns the documents of a kind, or all, in order of their keys.
func (s *State) Docs(kind string) []Doc {
	var list []Doc
	for key, d := range s.docs {
		if kind == "" || strings.HasPrefix(string(key), kind+"/") {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(x, y Doc) int {
		return strings.Compare(string(x.Key), string(y.Key))
	})
	return list
}

// Result returns what became of a publication.
func (s *State) Result(id PublicationID) (Result, bool) {
	r, ok := s.results[id]
	return r, ok
}

// Fence returns the offset of an upstream's newest start record.
func (s *State) Fence(id wardturn.UpstreamID) wardturn.Offset {
	return s.starts[id]
}

// First returns the first claim of a key.
func (s *State) First(caller wardturn.CallerID, key wardturn.IdempotencyKey) (ClaimResult, bool) {
	r, ok := s.claims[claimKey{
		caller: caller,
		key:    key,
	}]
	return r, ok
}

// Apply folds one record. Records come in the order of their offsets; one that
// was applied before is ignored.
func (s *State) Apply(lr wardturn.LogRecord) {
	if lr.Offset <= s.read {
		return
	}
	s.read = lr.Offset
	defer s.advance()
	if lr.Time.After(s.logTime) {
		s.logTime = lr.Time
	}
	if s.gap {
		s.gap = false
		s.horizon = lr.Time
	}
	rec, err := Decode(lr.Data)
	if err != nil {
		return
	}
	switch {
	case rec.Change != nil && s.based:
		s.applyChange(lr, rec.Change)
	case rec.Change != nil:
		s.backlog = append(s.backlog, pendingChange{
			record: lr,
			change: rec.Change,
		})
	case rec.Snapshot != nil:
		s.applySnapshot(lr, rec.Snapshot)
	case rec.Claims != nil && s.keepAll:
		s.applyClaims(lr, rec.Claims)
	case rec.Start != nil:
		s.starts[rec.Start.Upstream] = lr.Offset
	}
}

func (s *State) advance() {
	if s.based {
		s.applied = s.read
	}
}

// Skip records that the records before an offset are out of retention. What was
// published and claimed by them can no longer be known.
func (s *State) Skip(first wardturn.Offset) {
	if first-1 <= s.read {
		return
	}
	s.read = first - 1
	s.from = first
	s.based = false
	s.backlog = nil
	s.gap = true
	clear(s.partial)
}

func (s *State) applyChange(lr wardturn.LogRecord, c *Change) {
	if _, seen := s.results[c.ID]; seen {
		return // the same publication appended twice after a lost reply
	}
	res := Result{
		ID:       c.ID,
		Accepted: true,
		Version:  lr.Offset,
	}
	for _, dc := range c.Docs {
		have := s.docs[dc.Key].Version
		if have == dc.Base {
			continue
		}
		res.Accepted = false
		res.Conflict = dc.Key
		res.InForce = have
		break
	}
	s.remember(res)
	s.audit(lr, c, res)
	if !res.Accepted {
		return
	}
	for _, dc := range c.Docs {
		s.put(lr, c, dc)
	}
}

func (s *State) put(lr wardturn.LogRecord, c *Change, dc DocChange) {
	if dc.Delete {
		delete(s.docs, dc.Key)
	} else {
		s.docs[dc.Key] = Doc{
			Key:     dc.Key,
			Version: lr.Offset,
			Body:    dc.Body,
			Who:     c.Who,
			At:      lr.Time,
		}
	}
	s.onChange(dc.Key)
}

// Recent returns the results of the latest publications, for a snapshot.
func (s *State) Recent() []Result {
	list := make([]Result, 0, resultsInSnapshot)
	for _, id := range s.recent[max(0, len(s.recent)-resultsInSnapshot):] {
		list = append(list, s.results[id])
	}
	return list
}

// SnapshotTime returns the log's time of the newest whole snapshot.
func (s *State) SnapshotTime() time.Time {
	return s.snapAt
}

func (s *State) remember(res Result) {
	s.results[res.ID] = res
	s.recent = append(s.recent, res.ID)
	if len(s.recent) > publicationsKept {
		delete(s.results, s.recent[0])
		s.recent = s.recent[1:]
	}
}

// applySnapshot collects the parts of a snapshot. A whole one gives a base to a
// process that has none, if it has read every record since the snapshot was
// made.
func (s *State) applySnapshot(lr wardturn.LogRecord, snap *Snapshot) {
	p := s.partial[snap.Through]
	if p == nil {
		p = &partial{
			have: make(map[int]bool),
			docs: make(map[Key]Doc),
		}
		s.partial[snap.Through] = p
	}
	p.have[snap.Part] = true
	p.results = append(p.results, snap.Results...)
	if !s.based {
		for _, d := range snap.Docs {
			p.docs[d.Key] = d
		}
	}
	if len(p.have) < snap.Parts {
		return
	}
	delete(s.partial, snap.Through)
	s.snapAt = lr.Time
	s.snapRead = lr.Offset
	if !s.based && snap.Through+1 >= s.from {
		s.rebase(snap.Through, p)
	}
}

// rebase replaces the documents by a snapshot's and replays what came after it.
func (s *State) rebase(through wardturn.Offset, p *partial) {
	old := s.docs
	s.docs = p.docs
	s.based = true
	for key := range old {
		if s.docs[key].Version != old[key].Version {
			s.onChange(key)
		}
	}
	for key := range s.docs {
		if _, had := old[key]; !had {
			s.onChange(key)
		}
	}
	for _, res := range p.results {
		if _, known := s.results[res.ID]; !known {
			s.remember(res)
		}
	}
	backlog := s.backlog
	s.backlog = nil
	for _, pc := range backlog {
		if pc.record.Offset > through {
			s.applyChange(pc.record, pc.change)
		}
	}
}

// Seed adopts the documents of a peer while the log is out: those in force after
// the record at applied, and the results of publications up to it. They are not taken if they are older than those held, or
// if records between them and the oldest one read were missed.
func (s *State) Seed(page Page, applied wardturn.Offset) {
	missed := s.read > applied && s.from > applied+1
	if applied <= s.applied || missed {
		return
	}
	p := &partial{
		docs:    make(map[Key]Doc, len(page.Docs)),
		results: page.Results,
	}
	for _, d := range page.Docs {
		p.docs[d.Key] = d
	}
	s.rebase(applied, p)
	s.read = max(s.read, applied)
	s.from = applied + 1
	s.gap = true
	s.advance()
}
