package control

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// MaxKeyAge is the maximum age of an idempotency key, by the clock of the log. Older
// keys are refused.
const MaxKeyAge = 10 * time.Minute

// MaxKeySkew is how far the clock that gave a key its creation time may be ahead of the
// clock of the log.
const MaxKeySkew = time.Minute

const (
	// maxResults is the maximum number of publications whose results are kept.
	maxResults = 4096
	// maxSnapshotResults is the maximum number of results in a snapshot. It can be
	// smaller because publishers retry for a few seconds only.
	maxSnapshotResults = 256
)

// PublicationResult is the outcome of a publication.
type PublicationResult struct {
	ID             PublicationID   `msgpack:"i"`
	Accepted       bool            `msgpack:"a"`
	Version        wardturn.Offset `msgpack:"v"`           // offset of the record
	Conflict       Key             `msgpack:"c,omitempty"` // first document whose version differed from its BaseVersion
	CurrentVersion wardturn.Offset `msgpack:"f,omitempty"` // current version of that document
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
	readOffset       wardturn.Offset // offset of the newest record that was read
	applied          wardturn.Offset // the documents are current as of this record
	firstReadOffset  wardturn.Offset // all records from this one up to readOffset were read
	hasBaseline      bool
	backlog          []pendingChange // publications that were read without a baseline
	logTime          time.Time
	snapshotTime     time.Time       // time of the newest complete snapshot
	snapshotOffset   wardturn.Offset // offset of its last part
	docs             map[Key]Doc
	claims           map[claimKey]ClaimResult
	claimOrder       []claimKey // claimed keys by offset of the first claim
	skipped          bool       // records just before the next one were not read
	claimHorizon     time.Time  // claims before this time may have been missed; zero: none
	fences           map[wardturn.UpstreamID]wardturn.Offset
	results          map[PublicationID]PublicationResult
	resultOrder      []PublicationID
	history          []HistoryEntry
	partialSnapshots map[wardturn.Offset]*partialSnapshot
	keepClaims       bool
	onChange         func(Key)
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

// partialSnapshot is a snapshot of which not all parts were read yet.
type partialSnapshot struct {
	received map[int]bool
	docs     map[Key]Doc
	results  []PublicationResult
}

// NewState returns the state of an empty log. Claims are kept only if keepClaims is
// set, because entry hosts do not need them.
func NewState(keepClaims bool) *State {
	return &State{
		firstReadOffset:  1,
		hasBaseline:      true,
		docs:             make(map[Key]Doc),
		claims:           make(map[claimKey]ClaimResult),
		fences:           make(map[wardturn.UpstreamID]wardturn.Offset),
		results:          make(map[PublicationID]PublicationResult),
		partialSnapshots: make(map[wardturn.Offset]*partialSnapshot),
		keepClaims:       keepClaims,
		onChange:         func(Key) {},
	}
}

// ReadOffset returns the offset of the newest record that was read.
func (s *State) ReadOffset() wardturn.Offset {
	return s.readOffset
}

// HasBaseline reports whether the state has a baseline, so that publications are applied as
// they are read.
func (s *State) HasBaseline() bool {
	return s.hasBaseline
}

// AppliedOffset returns the offset of the record up to which the documents are current.
// Without a baseline it is lower than ReadOffset.
func (s *State) AppliedOffset() wardturn.Offset {
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
func (s *State) Result(id PublicationID) (PublicationResult, bool) {
	r, ok := s.results[id]
	return r, ok
}

// Fence returns the fencing token of an upstream's newest agent process: the offset of
// its start record.
func (s *State) Fence(id wardturn.UpstreamID) wardturn.Offset {
	return s.fences[id]
}

// FirstClaim returns the first claim of a key, or the claim that superseded it.
func (s *State) FirstClaim(caller wardturn.CallerID, key wardturn.IdempotencyKey) (ClaimResult, bool) {
	r, ok := s.claims[claimKey{
		caller: caller,
		key:    key,
	}]
	return r, ok
}

// Apply applies one record. Records have to be passed in the order of their offsets; a
// record that was read before is ignored.
func (s *State) Apply(lr wardturn.LogRecord) {
	if lr.Offset <= s.readOffset {
		return
	}
	s.readOffset = lr.Offset
	defer s.updateApplied()
	if lr.Time.After(s.logTime) {
		s.logTime = lr.Time
	}
	if s.skipped {
		s.skipped = false
		s.claimHorizon = lr.Time
	}
	rec, err := DecodeRecord(lr.Data)
	if err != nil {
		return
	}
	switch {
	case rec.Change != nil && s.hasBaseline:
		s.applyChange(lr, rec.Change)
	case rec.Change != nil:
		s.backlog = append(s.backlog, pendingChange{
			record: lr,
			change: rec.Change,
		})
	case rec.Snapshot != nil:
		s.applySnapshot(lr, rec.Snapshot)
	case rec.ClaimBatch != nil && s.keepClaims:
		s.applyClaims(lr, rec.ClaimBatch)
	case rec.AgentStart != nil:
		s.fences[rec.AgentStart.Upstream] = lr.Offset
	}
}

func (s *State) updateApplied() {
	if s.hasBaseline {
		s.applied = s.readOffset
	}
}

// SkipTo makes first the offset of the next record without reading the records before it,
// for example because they are out of retention. The state loses its baseline, since
// the publications and claims in the skipped records are unknown.
func (s *State) SkipTo(first wardturn.Offset) {
	if first-1 <= s.readOffset {
		return
	}
	s.readOffset = first - 1
	s.firstReadOffset = first
	s.hasBaseline = false
	s.backlog = nil
	s.skipped = true
	clear(s.partialSnapshots)
}

func (s *State) applyChange(lr wardturn.LogRecord, c *Change) {
	if _, seen := s.results[c.ID]; seen {
		return // appended again after a lost reply
	}
	res := PublicationResult{
		ID:       c.ID,
		Accepted: true,
		Version:  lr.Offset,
	}
	for _, dc := range c.Docs {
		current := s.docs[dc.Key].Version
		if current == dc.BaseVersion {
			continue
		}
		res.Accepted = false
		res.Conflict = dc.Key
		res.CurrentVersion = current
		break
	}
	s.addResult(res)
	s.addHistory(lr, c, res)
	if !res.Accepted {
		return
	}
	for _, dc := range c.Docs {
		s.applyDoc(lr, c, dc)
	}
}

func (s *State) applyDoc(lr wardturn.LogRecord, c *Change, dc DocChange) {
	if dc.Delete {
		delete(s.docs, dc.Key)
	} else {
		s.docs[dc.Key] = Doc{
			Key:     dc.Key,
			Version: lr.Offset,
			Body:    dc.Body,
			Author:  c.Author,
			Time:    lr.Time,
		}
	}
	s.onChange(dc.Key)
}

// RecentResults returns the results of the newest publications, for a snapshot.
func (s *State) RecentResults() []PublicationResult {
	list := make([]PublicationResult, 0, maxSnapshotResults)
	for _, id := range s.resultOrder[max(0, len(s.resultOrder)-maxSnapshotResults):] {
		list = append(list, s.results[id])
	}
	return list
}

// SnapshotTime returns the log time of the newest complete snapshot.
func (s *State) SnapshotTime() time.Time {
	return s.snapshotTime
}

func (s *State) addResult(res PublicationResult) {
	s.results[res.ID] = res
	s.resultOrder = append(s.resultOrder, res.ID)
	if len(s.resultOrder) > maxResults {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = s.resultOrder[1:]
	}
}

// applySnapshot collects the parts of a snapshot. If the state has no baseline, a
// complete snapshot becomes the baseline, provided that all records after the
// snapshot's Through offset were read.
func (s *State) applySnapshot(lr wardturn.LogRecord, snap *Snapshot) {
	p := s.partialSnapshots[snap.Through]
	if p == nil {
		p = &partialSnapshot{
			received: make(map[int]bool),
			docs:     make(map[Key]Doc),
		}
		s.partialSnapshots[snap.Through] = p
	}
	p.received[snap.Part] = true
	p.results = append(p.results, snap.Results...)
	if !s.hasBaseline {
		for _, d := range snap.Docs {
			p.docs[d.Key] = d
		}
	}
	if len(p.received) < snap.Parts {
		return
	}
	delete(s.partialSnapshots, snap.Through)
	s.snapshotTime = lr.Time
	s.snapshotOffset = lr.Offset
	if !s.hasBaseline && snap.Through+1 >= s.firstReadOffset {
		s.installBaseline(snap.Through, p)
	}
}

// installBaseline replaces the documents by those of a snapshot and applies the queued
// publications that follow it.
func (s *State) installBaseline(through wardturn.Offset, p *partialSnapshot) {
	old := s.docs
	s.docs = p.docs
	s.hasBaseline = true
	for key := range old {
		if s.docs[key].Version != old[key].Version {
			s.onChange(key)
		}
	}
	for key := range s.docs {
		if _, existed := old[key]; !existed {
			s.onChange(key)
		}
	}
	for _, res := range p.results {
		if _, known := s.results[res.ID]; !known {
			s.addResult(res)
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

// InstallPeerConfig installs the configuration of a peer while the log is unavailable:
// the documents as of the record at offset applied, and the results of publications up to
// it. It does nothing if the configuration is not newer than the present one, or if
// records between it and the oldest record that was read are missing.
func (s *State) InstallPeerConfig(page ConfigPage, applied wardturn.Offset) {
	missed := s.readOffset > applied && s.firstReadOffset > applied+1
	if applied <= s.applied || missed {
		return
	}
	p := &partialSnapshot{
		docs:    make(map[Key]Doc, len(page.Docs)),
		results: page.Results,
	}
	for _, d := range page.Docs {
		p.docs[d.Key] = d
	}
	s.installBaseline(applied, p)
	s.readOffset = max(s.readOffset, applied)
	s.firstReadOffset = applied + 1
	s.skipped = true
	s.updateApplied()
}
