package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wardturn"
)

// Crashes decides which requests are refused because upstreams end under them. A request
// is known by its content, whichever attempt brings it: after some upstreams have ended
// under one content it is refused, until it has been left alone for a long time.
// All gateways tell each other of crashes, and each counts for itself.
//
// Upstreams end for other reasons too, and whatever was there then is suspected with the
// content that did it. What tells them apart is an answer: a content that was answered
// well crashes nobody, so that clears it, and for a while it is not suspected again.
type Crashes struct {
	cfg      CrashConfig
	contents map[wardturn.ContentID]*suspect
	proven   map[wardturn.ContentID]time.Time  // answered well, when
	broken   map[wardturn.Crash]time.Time      // sends whose upstream may have ended under them
	ended    map[wardturn.UpstreamID]time.Time // upstreams that ended without notice
	takeBack map[wardturn.Crash]bool           // records that no longer hold
}

// suspect is a content under which upstreams ended.
type suspect struct {
	upstreams map[wardturn.UpstreamID]*suspicion
	latest    time.Time
}

// suspicion is what is known of one crash.
type suspicion struct {
	own      bool // this gateway saw it and has to record it
	recorded bool
	since    time.Time // when it became known here
}

func crashOf(content wardturn.ContentID, id wardturn.UpstreamID) wardturn.Crash {
	return wardturn.Crash{
		Content:  content,
		Upstream: id,
	}
}

const (
	// recordFrom is how many of them make a content worth a record in the store: most
	// requests that an end has cut never meet a second one.
	recordFrom = 2
	// adoptAfter is how long a crash that another gateway saw may lack a record before this
	// one records it: gateways that are killed while the store is silent take what they
	// have seen with them.
	adoptAfter = 3 * time.Second
	// provenFor is how long a good answer keeps a content from being suspected: over the
	// time between two answers of what many send alike, and short against the 3 s in
	// which a content has to be refused once it has begun to crash upstreams.
	provenFor = 2 * time.Second
	// endLife is how long the end of an upstream is put together with the sends that
	// broke off there: until its entry has lapsed and been read, also by a gateway that
	// was frozen meanwhile.
	endLife = 12 * time.Second
	// mostContents bounds the contents that are remembered; those with the fewest and
	// oldest crashes are dropped first, so that many contents do not fill the process.
	mostContents = 1 << 15
)

// CrashConfig holds the limits of Crashes.
type CrashConfig struct {
	Limit  int           // upstreams that end under a content before it is refused
	Memory time.Duration // how long crashes count after the latest one
}

// NewCrashes returns a memory without crashes.
func NewCrashes(cfg CrashConfig) *Crashes {
	return &Crashes{
		cfg:      cfg,
		contents: make(map[wardturn.ContentID]*suspect),
		proven:   make(map[wardturn.ContentID]time.Time),
		broken:   make(map[wardturn.Crash]time.Time),
		ended:    make(map[wardturn.UpstreamID]time.Time),
		takeBack: make(map[wardturn.Crash]bool),
	}
}

// Refuses reports whether a content is refused, and for how long yet.
func (c *Crashes) Refuses(now time.Time, content wardturn.ContentID) (time.Duration, bool) {
	s := c.contents[content]
	if s == nil || len(s.upstreams) < c.cfg.Limit {
		return 0, false
	}
	left := s.latest.Add(c.cfg.Memory).Sub(now)
	return left, left > 0
}

// Broke records that a send got no whole answer. It returns the crash if the upstream is
// known to have ended.
func (c *Crashes) Broke(now time.Time, content wardturn.ContentID, id wardturn.UpstreamID) []wardturn.Crash {
	at, ended := c.ended[id]
	if ended && now.Sub(at) < endLife {
		return c.saw(now, []wardturn.Crash{crashOf(content, id)})
	}
	c.broken[crashOf(content, id)] = now
	return nil
}

// Ended records that an upstream has ended without notice. It returns the crashes that
// this shows.
func (c *Crashes) Ended(now time.Time, id wardturn.UpstreamID) []wardturn.Crash {
	c.ended[id] = now
	var list []wardturn.Crash
	for b, at := range c.broken {
		if b.Upstream != id {
			continue
		}
		delete(c.broken, b)
		if now.Sub(at) < endLife {
			list = append(list, b)
		}
	}
	return c.saw(now, list)
}

// saw takes crashes that this gateway has seen, and returns those that count and were
// not known.
func (c *Crashes) saw(now time.Time, list []wardturn.Crash) []wardturn.Crash {
	fresh := c.Heard(now, list)
	for _, crash := range fresh {
		c.known(crash).own = true
	}
	slices.SortFunc(fresh, compareCrashes)
	return fresh
}

func compareCrashes(x, y wardturn.Crash) int {
	return cmp.Or(cmp.Compare(x.Content, y.Content), cmp.Compare(x.Upstream, y.Upstream))
}

// Heard takes crashes that another gateway has seen, and returns those that count and
// were not known.
func (c *Crashes) Heard(now time.Time, list []wardturn.Crash) (fresh []wardturn.Crash) {
	for _, crash := range list {
		if c.add(now, now, crash) {
			fresh = append(fresh, crash)
		}
	}
	return fresh
}

// Recorded takes crashes that lie in the store, with the times at which they were
// recorded, and returns those that count and were not known.
func (c *Crashes) Recorded(now time.Time, list []wardturn.RecordedCrash) (fresh []wardturn.Crash) {
	for _, r := range list {
		at := r.At
		if at.After(now) {
			at = now // by the clock of another host
		}
		if now.Sub(at) >= c.cfg.Memory {
			continue
		}
		if c.add(now, at, r.Crash) {
			fresh = append(fresh, r.Crash)
		}
		if known := c.known(r.Crash); known != nil {
			known.recorded = true
		}
	}
	return fresh
}

// RecordsLost records that the store may have lost records: it has come back from an older
// copy. Call Recorded with those that it still has after this. The gateways that saw a
// crash record it again; the others only if they do not.
func (c *Crashes) RecordsLost(now time.Time) {
	for _, s := range c.contents {
		for _, known := range s.upstreams {
			known.recorded = false
			known.since = now
		}
	}
}

// known returns what is known of a crash, or nil.
func (c *Crashes) known(crash wardturn.Crash) *suspicion {
	s := c.contents[crash.Content]
	if s == nil {
		return nil
	}
	return s.upstreams[crash.Upstream]
}

// add counts a crash of some time, and reports whether it counts and was not known.
func (c *Crashes) add(now, at time.Time, crash wardturn.Crash) bool {
	if proven, ok := c.proven[crash.Content]; ok && at.Sub(proven) < provenFor {
		return false
	}
	s := c.contents[crash.Content]
	if s == nil {
		c.makeRoom()
		s = &suspect{
			upstreams: make(map[wardturn.UpstreamID]*suspicion),
		}
		c.contents[crash.Content] = s
	}
	if s.upstreams[crash.Upstream] != nil {
		return false
	}
	s.latest = latest(s.latest, at)
	s.upstreams[crash.Upstream] = &suspicion{
		since: now,
	}
	return true
}

// Answered records that a content was answered well, and reports whether crashes had been
// counted for it. Records of them in the store are to be taken back.
func (c *Crashes) Answered(now time.Time, content wardturn.ContentID) (suspected bool) {
	c.proven[content] = now
	s := c.contents[content]
	if s == nil {
		return false
	}
	for id, known := range s.upstreams {
		if known.recorded {
			c.takeBack[crashOf(content, id)] = true
		}
	}
	delete(c.contents, content)
	return true
}

// Cleared takes the word that contents were answered well at another gateway, which
// takes the records back.
func (c *Crashes) Cleared(contents []wardturn.ContentID) {
	for _, content := range contents {
		delete(c.contents, content)
	}
}

// TakenBack takes crashes whose records were taken back in the store.
func (c *Crashes) TakenBack(list []wardturn.Crash) {
	for _, crash := range list {
		s := c.contents[crash.Content]
		if s == nil {
			continue
		}
		delete(s.upstreams, crash.Upstream)
		if len(s.upstreams) == 0 {
			delete(c.contents, crash.Content)
		}
	}
}

// Due returns what this gateway has to write to the store: the crashes that it saw itself,
// and those that lack a record for long, of contents that are worth it or with all of all
// contents; and the records to be taken back.
func (c *Crashes) Due(now time.Time, all bool) (crashes, takeBack []wardturn.Crash) {
	for content, s := range c.contents {
		if !all && len(s.upstreams) < min(recordFrom, c.cfg.Limit) {
			continue
		}
		for id, known := range s.upstreams {
			mine := known.own || now.Sub(known.since) >= adoptAfter
			if mine && !known.recorded {
				crashes = append(crashes, crashOf(content, id))
			}
		}
	}
	takeBack = slices.Collect(maps.Keys(c.takeBack))
	slices.SortFunc(crashes, compareCrashes)
	slices.SortFunc(takeBack, compareCrashes)
	return crashes, takeBack
}

// Written notes that what was due lies in the store.
func (c *Crashes) Written(crashes, takeBack []wardturn.Crash) {
	for _, crash := range crashes {
		if known := c.known(crash); known != nil {
			known.recorded = true
		} else {
			c.takeBack[crash] = true // answered well meanwhile
		}
	}
	for _, crash := range takeBack {
		delete(c.takeBack, crash)
	}
}

// Sweep forgets what no longer counts. The gateway that recorded a crash takes its record
// back.
func (c *Crashes) Sweep(now time.Time) {
	dropOld(now, c.proven, provenFor)
	dropOld(now, c.broken, endLife)
	dropOld(now, c.ended, endLife)
	for content, s := range c.contents {
		if now.Sub(s.latest) < c.cfg.Memory {
			continue
		}
		for id, known := range s.upstreams {
			if known.own && known.recorded {
				c.takeBack[crashOf(content, id)] = true
			}
		}
		delete(c.contents, content)
	}
}

// dropOld drops what is older than its life.
func dropOld[K comparable](now time.Time, m map[K]time.Time, life time.Duration) {
	maps.DeleteFunc(m, func(_ K, at time.Time) bool {
		return now.Sub(at) >= life
	})
}

// roomStep is the part of the contents that is dropped at once when there are too many.
const roomStep = 8

// makeRoom drops the contents with the fewest and oldest crashes if there are too many.
func (c *Crashes) makeRoom() {
	if len(c.contents) < mostContents {
		return
	}
	list := slices.Collect(maps.Keys(c.contents))
	slices.SortFunc(list, func(x, y wardturn.ContentID) int {
		sx, sy := c.contents[x], c.contents[y]
		return cmp.Or(cmp.Compare(len(sx.upstreams), len(sy.upstreams)), sx.latest.Compare(sy.latest), cmp.Compare(x, y))
	})
	for _, content := range list[:len(list)/roomStep] {
		delete(c.contents, content)
	}
}
