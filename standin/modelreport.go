package standin

import (
	"net/http"
	"strconv"
)

// serveReport serves the report of the worker's state.
func (m *ModelWorker) serveReport(w http.ResponseWriter) {
	if m.hidesReport() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	type model struct {
		Name     string   `json:"name"`
		Version  int64    `json:"version"`
		Adapters []string `json:"adapters"`
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeLoads()
	models := []model{}
	if m.model {
		adapters := []string{}
		for name, v := range m.adapters {
			adapters = append(adapters, name+"@"+strconv.FormatInt(v, 10))
		}
		models = append(models, model{
			Name:     m.cfg.Model,
			Version:  1,
			Adapters: adapters,
		})
	}
	loading := []string{}
	for name := range m.loading {
		loading = append(loading, m.cfg.Model+"/"+name+"@1")
	}
	if m.startMS == 0 {
		w.Header().Set("X-Wardturn-Instance-Id", m.id)
	}
	report := map[string]any{
		"stage":    "dual",
		"models":   models,
		"seq":      m.seq,
		"active":   m.active(),
		"kv_total": 1000,
		"coming":   loading,
	}
	if m.startMS > 0 {
		report["born"] = m.startMS
	}
	if !m.faults.HideRuns {
		report["runs"] = m.runRows()
	}
	writeBody(w, report)
}

func (m *ModelWorker) hidesReport() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.NoReport
}

// runRows returns the runs in the format of a report: id, tokens in the KV cache, events
// produced and priority. Only the id is real; the other values are fixed. The caller
// holds the lock.
func (m *ModelWorker) runRows() [][]any {
	rows := [][]any{}
	for id := range m.running {
		rows = append(rows, []any{id, 0, 0, 5})
	}
	return rows
}
