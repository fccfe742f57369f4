package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// maxSnapshotPartBytes is the maximum size of the documents in one part of a snapshot. A
// larger document has a part of its own.
const maxSnapshotPartBytes = 256 << 10

// splitDocs divides documents into parts of at most about maxSnapshotPartBytes.
func splitDocs(docs []Doc) [][]Doc {
	var list [][]Doc
	var part []Doc
	size := 0
	for _, d := range docs {
		if size > 0 && size+len(d.Body) > maxSnapshotPartBytes {
			list = append(list, part)
			part = nil
			size = 0
		}
		part = append(part, d)
		size += len(d.Body) + len(d.Key)
	}
	return append(list, part)
}

// AppendSnapshot appends all current documents again, with their versions. Several
// processes may append a snapshot at the same time; the later ones have no effect.
func (r *Replica) AppendSnapshot(ctx context.Context) error {
	r.mu.Lock()
	through := r.state.AppliedOffset()
	docs := r.state.Docs("")
	results := r.state.RecentResults()
	based := r.state.HasBaseline()
	r.mu.Unlock()
	if !based {
		return errors.Wrap(wardturn.ErrUnavailable, "control: no baseline to make a snapshot from")
	}
	list := splitDocs(docs)
	for i, part := range list {
		snap := Snapshot{
			Through: through,
			Part:    i,
			Parts:   len(list),
			Docs:    part,
		}
		if i == 0 {
			snap.Results = results
		}
		data, err := EncodeRecord(Record{
			Snapshot: &snap,
		})
		if err != nil {
			return err
		}
		if err := r.append(ctx, data); err != nil {
			return err
		}
	}
	return nil
}

// snapshotDue reports whether the newest snapshot is older than maxAge, or so many records
// back that a process that starts reading near the end of the log would soon miss it.
func (r *Replica) snapshotDue(maxAge time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.state.HasBaseline() || len(r.state.docs) == 0 {
		return false
	}
	if r.state.readOffset-r.state.snapshotOffset > tailRecords/2 {
		return true
	}
	return r.clock.Now().Sub(r.state.SnapshotTime()) > maxAge
}

// RunSnapshots appends a snapshot whenever one is due, until ctx ends. Every entry
// host runs it. Each waits for a random time before it appends, so that usually one
// host appends the snapshot and the others see it in time.
func (r *Replica) RunSnapshots(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		r.sleepWithJitter(ctx, interval/snapshotChecksPerInterval)
		if !r.snapshotDue(interval) {
			continue
		}
		r.sleepWithJitter(ctx, interval/snapshotChecksPerInterval)
		if ctx.Err() != nil || !r.snapshotDue(interval) {
			continue
		}
		if err := r.AppendSnapshot(ctx); err != nil && ctx.Err() == nil {
			r.logger.Warn("snapshot failed", "error", err)
		}
	}
}

// snapshotChecksPerInterval is how many times per snapshot interval a process checks
// whether a snapshot is due.
const snapshotChecksPerInterval = 4

// ConfigPage is a part of the configuration of a process. Peers exchange pages while the
// log is unavailable.
type ConfigPage struct {
	Docs    []Doc               `msgpack:"d"`
	Results []PublicationResult `msgpack:"r"` // of recent publications; only in the first page
}

// ConfigPage returns the page with index i of the configuration, the number of pages, and
// the offset of the record up to which the configuration was applied.
func (r *Replica) ConfigPage(i int) (p ConfigPage, pages int, applied wardturn.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := splitDocs(r.state.Docs(""))
	if i >= 0 && i < len(list) {
		p.Docs = list[i]
	}
	if i == 0 {
		p.Results = r.state.RecentResults()
	}
	return p, len(list), r.state.AppliedOffset()
}
