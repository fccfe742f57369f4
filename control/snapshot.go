package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// snapshotPartBytes bounds the documents in one part of a snapshot.
const snapshotPartBytes = 256 << 10

// parts divides documents into parts of bounded size.
func parts(docs []Doc) [][]Doc {
	var list [][]Doc
	var part []Doc
	size := 0
	for _, d := range docs {
		if size > 0 && size+len(d.Body) > snapshotPartBytes {
			list = append(list, part)
			part = nil
			size = 0
		}
		part = append(part, d)
		size += len(d.Body) + len(d.Key)
	}
	return append(list, part)
}

// Snapshot appends all documents in force again, with their versions. Two
// processes may do it at the same time; the second is without effect.
func (r *Replica) Snapshot(ctx context.Context) error {
	r.mu.Lock()
	through := r.state.Applied()
	docs := r.state.Docs("")
	results := r.state.Recent()
	based := r.state.Based()
	r.mu.Unlock()
	if !based {
		return errors.Wrap(wardturn.ErrUnavailable, "control: nothing to make a snapshot from")
	}
	list := parts(docs)
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
		data, err := Encode(Record{
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

// snapshotDue reports whether the newest snapshot is older than a time, or so far
// back that a process which starts near the log's end would soon miss it.
func (r *Replica) snapshotDue(age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.state.Based() || len(r.state.docs) == 0 {
		return false
	}
	if r.state.read-r.state.snapRead > tailRecords/2 {
		return true
	}
	return r.clock.Now().Sub(r.state.SnapshotTime()) > age
}

// KeepSnapshots makes a snapshot whenever the newest is older than a time, until
// ctx ends. Every entry host does this; each waits a random part of the time
// first, so that nearly always one is first and the others see its snapshot.
func (r *Replica) KeepSnapshots(ctx context.Context, every time.Duration) {
	for ctx.Err() == nil {
		r.pause(ctx, every/snapshotChecks)
		if !r.snapshotDue(every) {
			continue
		}
		r.pause(ctx, every/snapshotChecks)
		if ctx.Err() != nil || !r.snapshotDue(every) {
			continue
		}
		if err := r.Snapshot(ctx); err != nil && ctx.Err() == nil {
			r.logger.Warn("snapshot failed", "error", err)
		}
	}
}

// snapshotChecks is how often within the time between two snapshots it is
// checked whether one is due.
const snapshotChecks = 4

// Page is a part of a process's configuration, for a peer.
type Page struct {
	Docs    []Doc    `msgpack:"d"`
	Results []Result `msgpack:"r"` // of recent publications; in the first page
}

// Page returns one page of the configuration for a peer, the number of pages, and
// the offset that they stand for.
func (r *Replica) Page(i int) (p Page, pages int, applied wardturn.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := parts(r.state.Docs(""))
	if i >= 0 && i < len(list) {
		p.Docs = list[i]
	}
	if i == 0 {
		p.Results = r.state.Recent()
	}
	return p, len(list), r.state.Applied()
}
