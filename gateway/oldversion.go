package gateway

import (
	"context"
)

// watchStart has the send aborted if, before it starts, its adapter version is retired or
// requests of its content, or with a part of its prompt, turn out to crash upstreams. The
// function stop ends the watch. The
// result ok is false if the version is retired already. The first bytes of a streamed
// response show the start; any other start is visible only to the keeper beside the engine.
func (x *exchange) watchStart(ctx context.Context, a assignment) (watched context.Context, stop func(), ok bool) {
	x.pending = &pendingSend{
		attempt:      x.attempt,
		upstream:     a.Member.ID,
		key:          x.key,
		version:      a.Version,
		content:      x.content,
		parts:        x.parts,
		trialOf:      x.trialOf,
		nonStreaming: !x.route.Streaming,
	}
	ctx = x.g.pendingSends.add(ctx, x.pending)
	// The send is added before the check, so that a version that is retired after the
	// check aborts it.
	return ctx, x.unwatch, a.Version == 0 || x.g.versionInUse(x.key, a.Version)
}

// unwatch records that the latest send has started or ended.
func (x *exchange) unwatch() {
	if x.pending != nil {
		x.send.aborted = x.g.pendingSends.remove(x.pending)
		x.pending = nil
	}
}

// logOldVersion logs a send whose adapter version had been superseded before the send
// started. The line has the times of the send and the start, relative to when this gateway
// learned of the newer version.
func (x *exchange) logOldVersion(a assignment) {
	if a.Version == 0 || x.send.sent.IsZero() {
		return
	}
	newer, learnedAt, ok := x.g.superseded(x.key, a.Version)
	firstByte := x.send.firstByte
	if !ok || !firstByte.IsZero() && !firstByte.After(learnedAt) {
		return
	}
	fields := []any{"id", x.attempt, "adapter", x.key.Adapter, "version", a.Version, "newer", newer, "upstream", a.Member.ID, "sent", x.send.sent.Sub(learnedAt)}
	switch {
	case firstByte.IsZero():
	case x.route.Streaming:
		x.g.metrics.oldVersionStart.RecordDuration(firstByte.Sub(learnedAt))
		fields = append(fields, "began", firstByte.Sub(learnedAt))
	default: // the start is not visible, only the response
		fields = append(fields, "answered", firstByte.Sub(learnedAt))
	}
	x.g.logger.Info("old version served", fields...)
}
