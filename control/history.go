package control

import (
	"time"

	"wardturn"
)

// maxHistory is the maximum number of publications that a process keeps in its
// history. The log has all of them until its retention ends.
const maxHistory = 10_000

// HistoryEntry is an entry of the audit history: who published what, when, and whether it
// was accepted.
type HistoryEntry struct {
	Version  wardturn.Offset `json:"version"` // offset of the record
	Time     time.Time       `json:"at"`      // by the clock of the log
	Author   string          `json:"who"`
	ID       PublicationID   `json:"id"`
	Accepted bool            `json:"accepted"`
	Keys     []Key           `json:"keys"`
	Deleted  []Key           `json:"deleted,omitempty"`
}

func (s *State) addHistory(lr wardturn.LogRecord, c *Change, res PublicationResult) {
	e := HistoryEntry{
		Version:  lr.Offset,
		Time:     lr.Time,
		Author:   c.Author,
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
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// History returns up to limit entries after an offset, oldest first. If key is not
// empty, only entries that change this document are returned.
func (r *Replica) History(key Key, after wardturn.Offset, limit int) []HistoryEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []HistoryEntry
	for _, e := range r.state.history {
		if e.Version <= after || !e.changes(key) {
			continue
		}
		if len(list) == limit {
			break
		}
		list = append(list, e)
	}
	return list
}

func (e HistoryEntry) changes(key Key) bool {
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
