package control

import (
	"time"

	"wardturn"
)

// historyKept bounds the publications that a process remembers one by one. The
// log itself holds them for its retention.
const historyKept = 10_000

// Entry is one line of the audit record: who published what, when, and whether
// it was accepted.
type Entry struct {
	Version  wardturn.Offset `json:"version"` // offset of the record
	At       time.Time       `json:"at"`      // by the log's clock
	Who      string          `json:"who"`
	ID       PublicationID   `json:"id"`
	Accepted bool            `json:"accepted"`
	Keys     []Key           `json:"keys"`
	Deleted  []Key           `json:"deleted,omitempty"`
}

func (s *State) audit(lr wardturn.LogRecord, c *Change, res Result) {
	e := Entry{
		Version:  lr.Offset,
		At:       lr.Time,
		Who:      c.Who,
		ID:       c.ID,
		Accepted: res.Accepted,
	}
	for _, d := range c.Docs {
		if d.Delete {
			e.Deleted = append(e.Deleted, d.Key)
			continue
		}
		e.Keys = append(e.Keys, d.Key)
	}
	s.history = append(s.history, e)
	if len(s.history) > historyKept {
		s.history = s.history[1:]
	}
}

// History returns up to limit entries after an offset, oldest first; those that
// touch a key, or all.
func (r *Replica) History(key Key, after wardturn.Offset, limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Entry
	for _, e := range r.state.history {
		if e.Version <= after || !e.touches(key) {
			continue
		}
		if len(list) == limit {
			break
		}
		list = append(list, e)
	}
	return list
}

func (e Entry) touches(key Key) bool {
	if key == "" {
		return true
	}
	for _, keys := range [][]Key{e.Keys, e.Deleted} {
		for _, k := range keys {
			if k == key {
				return true
			}
		}
	}
	return false
}
