package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// StreamShape describes how the format of a stream deviates from the protocol. The zero
// value is a correct stream.
type StreamShape struct {
	Shift  int    // offset of the first event from the right one
	IDLine string // format of the id line of events; empty: the correct format
	Word   string // text in the data of events; empty: piece
}

// Event returns event i of a stream.
func (s StreamShape) Event(i int) []byte {
	b := fmt.Appendf(nil, cmp.Or(s.IDLine, "id: %d\n"), i)
	return fmt.Appendf(b, "data: %s %d\n\n", cmp.Or(s.Word, "piece"), i)
}

// completeResponse returns the complete response to a request. A stream starts after the
// event Last-Event-Id.
func (m *ModelWorker) completeResponse(r *http.Request, body []byte) []byte {
	if m.cfg.StreamEvents == 0 {
		return append([]byte("echo:"), body...)
	}
	var b []byte
	for i := lastEventID(r) + 1; i <= m.cfg.StreamEvents; i++ {
		b = append(b, StreamShape{}.Event(i)...)
	}
	return b
}

// writeStream writes events with ascending ids, starting after the event Last-Event-Id.
func (m *ModelWorker) writeStream(w http.ResponseWriter, r *http.Request, f WorkerFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	shape, last := f.Resumed, f.CutAfter
	if r.Header.Get("Last-Event-Id") == "" {
		shape, last = f.Fresh, max(f.CutAfter, f.CutFresh)
	}
	for i := max(lastEventID(r)+1+shape.Shift, 1); i <= m.cfg.StreamEvents; i++ {
		if last > 0 && i > last {
			fmt.Fprintf(w, "id: %d\ndata: ha", i) // the cut is within an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(shape.Event(i))
		w.(http.Flusher).Flush()
		select {
		case <-time.After(m.cfg.EventInterval + f.Linger):
		case <-r.Context().Done():
			return
		}
	}
}

// lastEventID returns the Last-Event-Id of a request, or zero if there is none.
func lastEventID(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last
}
