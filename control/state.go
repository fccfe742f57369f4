package control

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// ClaimWindow is the maximum age of an idempotency key, by the clock of the log. Older
// keys are refused.
const ClaimWindow = 10 * time.Minute

// KeySkew is how far the clock that gave a key its creation time may be ahead of the
// clock of the log.
const KeySkew = time.Minute

const (
	// publicationsKept is the maximum number of publications whose results are kept.
	publicationsKept = 4096
	// resultsInSnapshot is the maximum number of results in a snapshot. It can be
	// smaller because publishers retry for a few seconds only.
	resultsInSnapshot = 256
)

// Result is the outcome of a publication.
type Result struct {
	ID       PublicationID   `msgpack:"i"`
	Accepted bool            `msgpack:"a"`
	Version  wardturn.Offset `msgpack:"v"`           // offset of the record
	Conflict Key             `msgpack:"c,omitempty"` // first document whose version differed from its Base
	InForce  wardturn.Offset `msgpack:"f,omitempty"` // current version of that document
}

// ClaimResult is the first claim of a key and its origin.
type ClaimResult struct {
	Claim    Claim
	Upstream wardturn.UpstreamID
	Process  wardturn.Incarnation
	Offset   wardturn.Offset
	TooOld   bool // an earlier claim of the key may be unknown
}

// State is the state machine to which the records of the log are applied. It is not
// safe for concurrent use.
//
// A process that cannot read the log from its first record has no baseline, that is, no
// complete set of documents to apply publications to: it does not know the current
// versions, so it cannot tell which publications were accepted. It queues publications
// until a complete snapshot provides the baseline, and then applies those that follow
// the snapshot. Until then it keeps the documents that it had before. A process with a
// baseline ignores the documents in snapshots.
type State struct {
	read     wardturn.Offset // offset of the newest record that was read
	applied  wardturn.Offset // the documents are current as of this record
	from     wardturn.Offset // all records from this one up to read were read
	based    bool
	backlog  []pendingChange // publications that were read without a baseline
	logTime  time.Time
	snapAt   time.Time       // time of the newest complete snapshot
	snapRead wardturn.Offset // offset of its last part
	docs     map[Key]Doc
	claims   map[claimKey]ClaimResult
	order    []claimKey // claimed keys by offset of the first claim
	gap      bool       // records just before the next one were not read
	horizon  time.Time  // claims before this time may have been missed; zero: none
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

// pendingChange is a publication that is queued until there is a baseline.
type pendingChange struct {
	record wardturn.LogRecord
	change *Change
}

// partial is a snapshot of which not all parts were read yet.
type partial struct {
	have    map[int]bool
	docs    map[Key]Doc
	results []Result
}

// NewState returns the state of an empty log. Claims are kept only if keepClaims is
// set, because entry hosts do not need them.
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

// Read returns the offset of the newest record that was read.
func (s *State) Read() wardturn.Offset {
	return s.read
}

// Based reports whether the state has a baseline, so that publications are applied as
// they are read.
func (s *State) Based() bool {
	return s.based
}

// Applied returns the offset of the record up to which the documents are current.
// Without a baseline it is lower than Read.
func (s *State) Applied() wardturn.Offset {
	return s.applied
}

// Get returns the current version of a document.
func (s *State) Get(key Key) (Doc, bool) {
	d, ok := s.docs[key]
	return d, ok
}

// Docs returns the documents of a kind, or all if kind is empty, sorted by key.
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

// Result returns the outcome of a publication, if it is still kept.
func (s *State) Result(id PublicationID) (Result, bool) {
	r, ok := s.results[id]
	return r, ok
}

// Fence returns the fencing token of an upstream's newest agent process: the offset of
// its start record.
func (s *State) Fence(id wardturn.UpstreamID) wardturn.Offset {
	return s.starts[id]
}

// First returns the first claim of a key, or the claim that superseded it.
func (s *State) First(caller wardturn.CallerID, key wardturn.IdempotencyKey) (ClaimResult, bool) {
	r, ok := s.claims[claimKey{
		caller: caller,
		key:    key,
	}]
	return r, ok
}

// Apply applies one record. Records have to be passed in the order of their offsets; a
// record that was read before is ignored.
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

// Skip makes first the offset of the next record without reading the records before it,
// for example because they are out of retention. The state loses its baseline, since
// the publications and claims in the skipped records are unknown.
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
		return // appended again after a lost reply
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

// Recent returns the results of the newest publications, for a snapshot.
func (s *State) Recent() []Result {
	list := make([]Result, 0, resultsInSnapshot)
	for _, id := range s.recent[max(0, len(s.recent)-resultsInSnapshot):] {
		list = append(list, s.results[id])
	}
	return list
}

// SnapshotTime returns the log time of the newest complete snapshot.
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

// applySnapshot collects the parts of a snapshot. If the state has no baseline, a
// complete snapshot becomes the baseline, provided that all records after the
// snapshot's Through offset were read.
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

// rebase replaces the documents by those of a snapshot and applies the queued
// publications that follow it.
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

// Seed installs the configuration of a peer while the log is unavailable: the documents
// as of the record at offset applied, and the results of publications up to it. It does
// nothing if the configuration is not newer than the present one, or if records between
// it and the oldest record that was read are missing.
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
