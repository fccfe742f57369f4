package gateway

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
	if !began.IsZero() {
		x.g.metrics.oldBegan.RecordDuration(began.Sub(named))
		line = append(line, "began", began.Sub(named))
	}
	x.g.logger.Info("old version served", line...)
}
