package decide

import (
	"math"
	"time"

	"wardturn"
)

const (
	// maxAnnouncedRecords is the maximum size of the records in an announcement. Keepers queue
	// an announcement once for each gateway.
	maxAnnouncedRecords = 24 << 10
	// repeatRecordsFor is how long records are repeated. Keys may be out of date for 3 s and
	// more before requests are refused.
	repeatRecordsFor = 5 * time.Second
	// announcedBytesPerSecond and announcedBurst limit the announced bytes. A gateway gets each
	// announcement from two keepers: over 20 s and more that is under 17 kB/s.
	announcedBytesPerSecond = 4 << 10
	announcedBurst          = 3 * maxAnnouncedRecords
	// announcementOverhead is the size of an announcement without its records.
	announcementOverhead = 128
	// maxAnnouncementDelay is the maximum delay of an announcement by a gateway that does not
	// read for all. It is several times the delay of announcements between gateways.
	maxAnnouncementDelay = 200 * time.Millisecond
	// assumedGateways is the number of gateways for which the delays are distributed.
	assumedGateways = 1024
)

// RecentRecords decides which records of the operator's configuration a gateway announces to
// the others, and when. Load: the store refuses some gateways for seconds while keys are
// revoked, adapter versions announced and tables replaced, and some announcements are lost.
// Each announcement repeats the records read in the last seconds, so that a gateway that missed
// one catches up with the next. New records go before repeated ones: repeats leave room for
// an announcement of the maximum size.
//
// The gateway that reads for all announces at once. While it is replaced, hundreds of others
// may read the same records at the same moment: one of them announces them, after a delay in
// which the others hear of that.
type RecentRecords struct {
	self        wardturn.Incarnation
	batches     []recordBatch     // consecutive, oldest first
	announcedTo wardturn.Position // up to which another gateway has announced records
	repeat      bool              // this gateway has read since it or another announced the last batch
	spent       float64           // bytes announced by all gateways that are not yet regained
	updatedAt   time.Time         // of spent
}

// NewRecentRecords returns a RecentRecords without records.
func NewRecentRecords(self wardturn.Incarnation) *RecentRecords {
	return &RecentRecords{
		self: self,
	}
}

// recordBatch are the records of one read.
type recordBatch struct {
	records   wardturn.ConfigRecords
	readAt    time.Time
	announced bool // by this gateway or another
	byThis    bool // this gateway announced it, and no other has announced later records
}

func (b recordBatch) size() int {
	return len(b.records.Data)
}

// Add adds records that this gateway has read from the store. Records that do not follow
// those added before replace them, and a read of the whole configuration, with a negative
// From, removes them. Those that another gateway has announced before count as announced.
func (r *RecentRecords) Add(now time.Time, records wardturn.ConfigRecords) {
	r.dropOld(now)
	r.repeat = true
	if records.From == records.To {
		return
	}
	if n := len(r.batches); n > 0 && r.batches[n-1].records.To != records.From {
		r.batches = nil
	}
	if records.From < 0 || len(records.Data) > maxAnnouncedRecords {
		r.batches = nil
		return
	}
	r.batches = append(r.batches, recordBatch{
		records:   records,
		readAt:    now,
		announced: records.To <= r.announcedTo,
	})
}

// ObserveAnnouncement records an announcement of another gateway: the position up to which it has records,
// and their size. It arrives from two keepers, so that each arrival counts half.
func (r *RecentRecords) ObserveAnnouncement(now time.Time, to wardturn.Position, size int) {
	r.regain(now)
	r.spent += float64(size+announcementOverhead) / 2
	r.announcedTo = max(r.announcedTo, to)
	for i := range r.batches {
		b := &r.batches[i]
		b.announced = b.announced || b.records.To <= to
		b.byThis = b.byThis && b.records.To >= to
	}
	if n := len(r.batches); n > 0 && r.batches[n-1].records.To <= to {
		r.repeat = false
	}
}

// Delay returns how long after a read the gateway has to call Announcement. It is zero for the
// gateway that reads for all, which has to call it after each read. For the others it reports
// false if there are no records to announce: neither new ones nor, after a further read, ones
// that this gateway announced in the place of the one that reads for all.
//
// The delays are distributed such that the first of any number of gateways up to assumedGateways
// is likely to be heard before most of the others are due.
func (r *RecentRecords) Delay(forAll bool) (time.Duration, bool) {
	if forAll {
		return 0, true
	}
	n := len(r.batches)
	if !r.due() {
		return 0, false
	}
	key := string(r.self) + "/" + r.batches[n-1].records.To.String()
	spread := (float64(hashString(key)) + 1) / (1 << 64)
	fraction := 1 + math.Log(spread)/math.Log(assumedGateways)
	return time.Duration(max(0, fraction) * float64(maxAnnouncementDelay)), true
}

// due reports whether a gateway that does not read for all has records to announce.
func (r *RecentRecords) due() bool {
	n := len(r.batches)
	return n > 0 && (!r.batches[n-1].announced || r.repeat && r.batches[n-1].byThis)
}

// Announcement returns the records to announce: those that have not been announced and, as
// far as size and rate allow, those before them. It reports false if there are none, or if
// they have been announced and this gateway neither reads for all nor repeats its own
// announcement.
func (r *RecentRecords) Announcement(now time.Time, forAll bool) (wardturn.ConfigRecords, bool) {
	r.dropOld(now)
	if !forAll && !r.due() {
		return wardturn.ConfigRecords{}, false
	}
	r.regain(now)
	n := len(r.batches)
	first := n
	size := 0
	for first > 0 {
		b := r.batches[first-1]
		limit := float64(announcedBurst)
		if b.announced {
			limit -= maxAnnouncedRecords + announcementOverhead
		}
		total := size + b.size()
		if total > maxAnnouncedRecords || r.spent+float64(total+announcementOverhead) > limit {
			break
		}
		size = total
		first--
	}
	if first == n {
		return wardturn.ConfigRecords{}, false
	}
	r.spent += float64(size + announcementOverhead)
	return r.join(first, size), true
}

// join joins the batches from the given one on and marks them as announced by this gateway.
func (r *RecentRecords) join(first, size int) wardturn.ConfigRecords {
	out := wardturn.ConfigRecords{
		From: r.batches[first].records.From,
		To:   r.batches[len(r.batches)-1].records.To,
		Data: make([]byte, 0, size),
	}
	for i := first; i < len(r.batches); i++ {
		out.Data = append(out.Data, r.batches[i].records.Data...)
		r.batches[i].announced = true
		r.batches[i].byThis = true
	}
	r.repeat = false
	return out
}

func (r *RecentRecords) dropOld(now time.Time) {
	old := 0
	for old < len(r.batches) && now.Sub(r.batches[old].readAt) > repeatRecordsFor {
		old++
	}
	r.batches = r.batches[old:]
}

func (r *RecentRecords) regain(now time.Time) {
	elapsed := max(0, now.Sub(r.updatedAt)).Seconds()
	r.spent = max(0, r.spent-elapsed*announcedBytesPerSecond)
	r.updatedAt = now
}

// RecordsUse is what a gateway does with announced records.
type RecordsUse uint8

const (
	// RecordsFollow: there are unknown records, and they follow the known ones.
	RecordsFollow RecordsUse = iota
	// RecordsKnown: all of them are known.
	RecordsKnown
	// RecordsGap: records before them are missing, the store was restored from an older copy,
	// or the announcement is malformed: the gateway has to read the store.
	RecordsGap
)

// UseOfRecords decides what a gateway that has read up to a position does with announced
// records. Load: announcements that arrive twice, late, in the wrong order, after lost ones
// or from another era of the store.
func UseOfRecords(at wardturn.Position, r wardturn.ConfigRecords) RecordsUse {
	switch {
	case at < 0 || r.From < 0 || r.To < r.From || len(r.Data) > maxAnnouncedRecords:
		return RecordsGap
	case r.To <= at:
		return RecordsKnown
	case r.From > at || r.From.Era() != at.Era() || r.To.Era() != at.Era():
		return RecordsGap
	}
	return RecordsFollow
}
