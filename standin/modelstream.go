package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// StreamShape is how a worker in trouble writes a stream.
type StreamShape struct {
	Shift  int    // events by which it begins later than it should, or sooner
	IDLine string // format of the line with the number of an event; empty: the usual one
	Word   string // in the data of each event; empty: piece
}

// Event returns an event of a stream.
func (s StreamShape) Event(i int) []byte {
	b := fmt.Appendf(nil, cmp.Or(s.IDLine, "id: %d\n"), i)
	return fmt.Appendf(b, "data: %s %d\n\n", cmp.Or(s.Word, "piece"), i)
}

// whole returns the whole answer to a request; of a stream, from the event after
// Last-Event-Id on.
func (m *ModelWorker) whole(r *http.Request, body []byte) []byte {
	if m.cfg.Pieces == 0 {
		return append([]byte("echo:"), body...)
	}
	var b []byte
	for i := lastEvent(r) + 1; i <= m.cfg.Pieces; i++ {
		b = append(b, StreamShape{}.Event(i)...)
	}
	return b
}

// stream writes events with rising ids, from the one after Last-Event-Id on.
func (m *ModelWorker) stream(w http.ResponseWriter, r *http.Request, f WorkerFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	shape, last := f.Resumed, f.CutAfter
	if r.Header.Get("Last-Event-Id") == "" {
		shape, last = f.Fresh, max(f.CutAfter, f.CutFresh)
	}
	for i := max(lastEvent(r)+1+shape.Shift, 1); i <= m.cfg.Pieces; i++ {
		if last > 0 && i > last {
			fmt.Fprintf(w, "id: %d\ndata: ha", i) // a worker may stop partway through an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(shape.Event(i))
		w.(http.Flusher).Flush()
		select {
		case <-time.After(m.cfg.Pause + f.Linger):
		case <-r.Context().Done():
			return
		}
	}
}

// lastEvent returns the id of the last event that a request has; zero if it names
// none.
func lastEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last
}
