package gateway

import (
	"context"
)

// watchBegin has the request broken off if, before it begins, the version of its adapter
// ceases to serve or it turns out to crash upstreams; stop ends that. It reports false if
// the version serves no more. The begin of a stream shows by its first bytes, that of a
// whole answer only to the keeper beside the engine.
func (x *exchange) watchBegin(ctx context.Context, a assignment) (watched context.Context, stop func(), ok bool) {
	x.waiting = &waitingSend{
		attempt:  x.attempt,
		upstream: a.Member.ID,
		key:      x.key,
		version:  a.Version,
		content:  x.content,
		whole:    !x.route.Streaming,
	}
	ctx = x.g.notStarted.add(ctx, x.waiting)
	// Added first: a version that ends after this look finds the request.
	return ctx, x.unwatch, a.Version == 0 || x.g.versionServes(x.key, a.Version)
}

// unwatch records that the latest send has begun or ended.
func (x *exchange) unwatch() {
	if x.waiting != nil {
		x.send.brokenOff = x.g.notStarted.remove(x.waiting)
		x.waiting = nil
	}
}

// noteOldVersion logs a send that ended on a version of its adapter that a newer one
// had replaced before it began: which, and how long after the newer one was named
// here it was sent and began.
func (x *exchange) noteOldVersion(a assignment) {
	if a.Version == 0 || x.send.sent.IsZero() {
		return
	}
	newer, named, ok := x.g.superseded(x.key, a.Version)
	began := x.send.began
	if !ok || !began.IsZero() && !began.After(named) {
		return
	}
	line := []any{"id", x.attempt, "adapter", x.key.Adapter, "version", a.Version, "newer", newer, "upstream", a.Member.ID, "sent", x.send.sent.Sub(named)}
	switch {
	case began.IsZero():
	case x.route.Streaming:
		x.g.metrics.oldBegan.RecordDuration(began.Sub(named))
		line = append(line, "began", began.Sub(named))
	default: // when it began does not show
		line = append(line, "answered", began.Sub(named))
	}
	x.g.logger.Info("old version served", line...)
}
