package standin

// Software returns the software version of the current lifetime.
func (m *ModelWorker) Software() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cfg.Software
}

// SetSoftware sets the software version of the next lifetime. It is called with all
// connections closed, before the start of that lifetime.
func (m *ModelWorker) SetSoftware(software string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cfg.Software = software
}
