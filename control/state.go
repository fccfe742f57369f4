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

// publicationsKept bounds the publications whose results are remembered.
const publicationsKept = 4096

// Result says what became of a publication.
type Result struct {
	ID       PublicationID
	Accepted bool
	Version  wardturn.Offset // of the record
	Conflict Key             // the first document whose version differed
	InForce  wardturn.Offset // that document's version
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
type State struct {
	applied  wardturn.Offset
	from     wardturn.Offset // every record since this one was read
	logTime  time.Time
	docs     map[Key]Doc
	deleted  map[Key]wardturn.Offset // since the newest whole snapshot
	claims   map[claimKey]ClaimResult
	order    []claimKey // of claims, by offset
	gap      bool       // records before the next one were not read
	horizon  time.Time  // claims before this may have been missed
	starts   map[wardturn.UpstreamID]wardturn.Offset
	results  map[PublicationID]Result
	recent   []PublicationID
	partial  map[wardturn.Offset]*partial
	keepAll  bool
	onChange func(Key)
}

type claimKey struct {
	caller wardturn.CallerID
	key    wardturn.IdempotencyKey
}

// partial is a snapshot whose parts are still coming.
type partial struct {
	parts int
	have  map[int]bool
	keys  map[Key]bool
}

// NewState returns the fold of an empty log. Claims are kept only if asked for:
// entry hosts do not need them.
func NewState(keepClaims bool) *State {
	return &State{
		from:     1,
		docs:     make(map[Key]Doc),
		deleted:  make(map[Key]wardturn.Offset),
		claims:   make(map[claimKey]ClaimResult),
		starts:   make(map[wardturn.UpstreamID]wardturn.Offset),
		results:  make(map[PublicationID]Result),
		partial:  make(map[wardturn.Offset]*partial),
		keepAll:  keepClaims,
		onChange: func(Key) {},
	}
}

// Applied returns the offset of the newest record applied.
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
	if lr.Offset <= s.applied {
		return
	}
	s.applied = lr.Offset
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
	case rec.Change != nil:
		s.applyChange(lr, rec.Change)
	case rec.Snapshot != nil:
		s.applySnapshot(rec.Snapshot)
	case rec.Claims != nil && s.keepAll:
		s.applyClaims(lr, rec.Claims)
	case rec.Start != nil:
		s.starts[rec.Start.Upstream] = lr.Offset
	}
}

// Skip records that the records up to an offset are out of retention. Claims
// that were among them can no longer be known.
func (s *State) Skip(first wardturn.Offset) {
	if first-1 > s.applied {
		s.applied = first - 1
		s.from = first
		s.gap = true
	}
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
		s.deleted[dc.Key] = lr.Offset
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

func (s *State) remember(res Result) {
	s.results[res.ID] = res
	s.recent = append(s.recent, res.ID)
	if len(s.recent) > publicationsKept {
		delete(s.results, s.recent[0])
		s.recent = s.recent[1:]
	}
}

// applySnapshot takes documents that are newer than what is held. When all
// parts of a snapshot have come, documents that it lacks were deleted before
// it was made.
//
// A snapshot is made a while before its record. One made before the first
// record that this process read is left alone: what was deleted between the two
// would come back.
func (s *State) applySnapshot(snap *Snapshot) {
	if snap.Through+1 < s.from {
		return
	}
	p := s.partial[snap.Through]
	if p == nil {
		p = &partial{
			parts: snap.Parts,
			have:  make(map[int]bool),
			keys:  make(map[Key]bool),
		}
		s.partial[snap.Through] = p
	}
	p.have[snap.Part] = true
	for _, d := range snap.Docs {
		p.keys[d.Key] = true
		s.take(d)
	}
	if len(p.have) == p.parts {
		delete(s.partial, snap.Through)
		s.complete(snap.Through, p)
	}
}

func (s *State) complete(through wardturn.Offset, p *partial) {
	for key, d := range s.docs {
		if d.Version <= through && !p.keys[key] {
			delete(s.docs, key)
			s.onChange(key)
		}
	}
	for key, at := range s.deleted {
		if at <= through {
			delete(s.deleted, key)
		}
	}
}

// take adopts a document unless the one held, or its deletion, is as new.
func (s *State) take(d Doc) {
	if s.docs[d.Key].Version >= d.Version || s.deleted[d.Key] >= d.Version {
		return
	}
	s.docs[d.Key] = d
	s.onChange(d.Key)
}

// Seed adopts the documents of a peer while the log is out. The records up to
// applied are taken to be read.
func (s *State) Seed(docs []Doc, applied wardturn.Offset) {
	if applied <= s.applied {
		return
	}
	for _, d := range docs {
		s.take(d)
	}
	s.applied = applied
	s.from = applied + 1
	s.gap = true
}

func (s *State) applyClaims(lr wardturn.LogRecord, c *Claims) {
	for _, cl := range c.List {
		key := claimKey{
			caller: cl.Caller,
			key:    cl.Key,
		}
		have, taken := s.claims[key]
		if taken && !supersedes(cl, have.Claim) {
			continue
		}
		s.claims[key] = ClaimResult{
			Claim:    cl,
			Upstream: c.Upstream,
			Process:  c.Process,
			Offset:   lr.Offset,
			TooOld:   s.tooOld(cl),
		}
		if !taken {
			s.order = append(s.order, key)
		}
	}
	s.forgetClaims()
}

// supersedes reports whether a claim may replace the one held: it names that
// one's attempt and asks for the same.
func supersedes(cl, have Claim) bool {
	return cl.Supersedes == have.Attempt && cl.Digest == have.Digest
}

// tooOld reports whether an earlier claim of the key may have been forgotten,
// or may have been out of retention before this process read the log.
func (s *State) tooOld(cl Claim) bool {
	if s.logTime.Sub(cl.Created) > ClaimWindow {
		return true
	}
	return cl.Created.Before(s.horizon)
}

func (s *State) forgetClaims() {
	for len(s.order) > 0 {
		c := s.claims[s.order[0]]
		// A key is remembered for two windows: one in which it may be used, and
		// one for clocks and delays.
		if s.logTime.Sub(c.Claim.Created) <= 2*ClaimWindow {
			return
		}
		delete(s.claims, s.order[0])
		s.order = s.order[1:]
	}
}
