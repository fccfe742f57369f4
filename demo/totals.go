package demo

// Totals are sums over the agents and engines of a system.
type Totals struct {
	Running         int
	Queued          int
	Loads           int
	Steps           int
	BatchEfficiency float64 // mean fraction of the batch that an engine step used
}

// EntryAddrs returns the addresses of the entries.
func (s *System) EntryAddrs() []string {
	list := make([]string, 0, len(s.Entries))
	for _, e := range s.Entries {
		list = append(list, e.Addr())
	}
	return list
}

// Totals returns the current totals.
func (s *System) Totals() Totals {
	var t Totals
	sequences := 0
	for _, u := range s.Upstreams {
		if u.Engine == nil {
			continue
		}
		h := u.Agent.Status().Hint
		t.Running += h.Running
		t.Queued += h.Queued
		st := u.Engine.Stats()
		t.Steps += st.Steps
		sequences += st.Sequences
	}
	t.Loads, _ = s.Store.Counts()
	if t.Steps > 0 {
		t.BatchEfficiency = float64(sequences) / float64(t.Steps*s.cfg.Batch)
	}
	return t
}

// Addr returns the address of the upstream itself, not of its agent.
func (u *Upstream) Addr() string {
	return u.addr
}
