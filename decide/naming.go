package decide

import (
	"time"

	"wardturn"
)

// naming is the word that a version of an adapter is the newest.
type naming struct {
	version wardturn.Version
	heard   time.Time
	end     time.Time // after which the versions before it serve no more
}

// named remembers the name of a version. Of the names whose end has passed only the
// latest still matters: no version before it serves.
func (f *Fleet) named(v wardturn.AdapterVersion, heard, end time.Time) naming {
	key := v.Key()
	list := f.namings[key]
	for len(list) > 1 && !heard.Before(list[1].end) {
		list = list[1:]
	}
	n := naming{
		version: v.Version,
		heard:   heard,
		end:     end,
	}
	f.namings[key] = append(list, n)
	return n
}

// newest returns the newest version of an adapter; zero if none was named.
func (f *Fleet) newest(key wardturn.ModelAdapter) wardturn.Version {
	list := f.namings[key]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// replacedBy returns the first name that is newer than a version, or nil.
func (f *Fleet) replacedBy(key wardturn.ModelAdapter, v wardturn.Version) *naming {
	list := f.namings[key]
	for i := range list {
		if list[i].version > v {
			return &list[i]
		}
	}
	return nil
}

// Superseded returns the first version of an adapter that is newer than another
// and when that was named. It reports false while there is none.
func (f *Fleet) Superseded(key wardturn.ModelAdapter, v wardturn.Version) (newer wardturn.Version, named time.Time, ok bool) {
	n := f.replacedBy(key, v)
	if n == nil {
		return 0, time.Time{}, false
	}
	return n.version, n.heard, true
}

// VersionServes reports whether requests may begin on a version of an adapter: on the
// newest they may, and on each older one until the end that came with the first newer
// name. One end for all old versions would move with each name, and versions that are named
// in quick succession would never end.
func (f *Fleet) VersionServes(now time.Time, key wardturn.ModelAdapter, v wardturn.Version) bool {
	n := f.replacedBy(key, v)
	return n == nil || now.Before(n.end)
}

// oldVersionServes reports whether requests may begin on some old version of an
// adapter.
func (f *Fleet) oldVersionServes(now time.Time, key wardturn.ModelAdapter) bool {
	list := f.namings[key]
	return len(list) > 0 && now.Before(list[len(list)-1].end)
}

// beginsInTime reports whether a request that is sent to a member now should begin on
// the version there before that serves no more.
func (f *Fleet) beginsInTime(now time.Time, m *Member, t *Ticket) bool {
	read := m.rate.time(m.toRead(now) + int(t.Prompt))
	return f.VersionServes(now.Add(beginWithin+read), t.Key, m.held[t.Key].version)
}
