package decide

import (
	"time"

	"wardturn"
)

// announcement records that a version of an adapter was announced as the newest.
type announcement struct {
	version    wardturn.Version
	receivedAt time.Time
	end        time.Time // when versions before this one stop serving
}

// recordAnnouncement appends the announcement of a version. Of the announcements whose
// end has passed, only the latest is kept: no version before it serves.
func (f *Fleet) recordAnnouncement(v wardturn.AdapterVersion, receivedAt, end time.Time) announcement {
	key := v.Key()
	list := f.announcements[key]
	for len(list) > 1 && !receivedAt.Before(list[1].end) {
		list = list[1:]
	}
	a := announcement{
		version:    v.Version,
		receivedAt: receivedAt,
		end:        end,
	}
	f.announcements[key] = append(list, a)
	return a
}

// newest returns the newest announced version of an adapter, or zero if there is none.
func (f *Fleet) newest(key wardturn.ModelAdapter) wardturn.Version {
	list := f.announcements[key]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// firstNewer returns the first announcement of a version newer than v, or nil.
func (f *Fleet) firstNewer(key wardturn.ModelAdapter, v wardturn.Version) *announcement {
	list := f.announcements[key]
	for i := range list {
		if list[i].version > v {
			return &list[i]
		}
	}
	return nil
}

// Superseded returns the first announced version of an adapter that is newer than v and
// when this gateway learned of it. It reports false while there is none.
func (f *Fleet) Superseded(key wardturn.ModelAdapter, v wardturn.Version) (newer wardturn.Version, receivedAt time.Time, ok bool) {
	a := f.firstNewer(key, v)
	if a == nil {
		return 0, time.Time{}, false
	}
	return a.version, a.receivedAt, true
}

// VersionInUse reports whether requests may start on a version of an adapter. The newest
// version always serves. Each older version serves until the end set when the first newer
// version was announced. With a single end for all old versions, each announcement would
// postpone it, and under announcements in quick succession old versions would never stop
// serving.
func (f *Fleet) VersionInUse(now time.Time, key wardturn.ModelAdapter, v wardturn.Version) bool {
	a := f.firstNewer(key, v)
	return a == nil || now.Before(a.end)
}

// oldVersionServes reports whether requests may still start on some old version of an
// adapter.
func (f *Fleet) oldVersionServes(now time.Time, key wardturn.ModelAdapter) bool {
	list := f.announcements[key]
	return len(list) > 0 && now.Before(list[len(list)-1].end)
}

// startsBeforeEnd reports whether a request sent to a member now is expected to start on
// the version held there before that version stops serving.
func (f *Fleet) startsBeforeEnd(now time.Time, m *Member, r *PendingRequest) bool {
	prefill := m.prefillTime(now, m.pendingPrefill(now)+int(r.Prompt))
	return f.VersionInUse(now.Add(versionStartMargin+prefill), r.Key, m.held[r.Key].version)
}
