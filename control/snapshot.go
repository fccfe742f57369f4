package control

import (
	"context"

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
	r.mu.Unlock()
	list := parts(docs)
	for i, part := range list {
		data, err := Encode(Record{
			Snapshot: &Snapshot{
				Through: through,
				Part:    i,
				Parts:   len(list),
				Docs:    part,
			},
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

// Page returns one page of the documents for a peer, the number of pages, and
// the offset that they stand for.
func (r *Replica) Page(i int) (docs []Doc, pages int, applied wardturn.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := parts(r.state.Docs(""))
	if i >= 0 && i < len(list) {
		docs = list[i]
	}
	return docs, len(list), r.state.Applied()
}
