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
	Text   string // text in the data of events; empty: piece
	End    string // end of the data line and empty line; empty: both end with LF
}

// Event returns event i of a stream.
func (s StreamShape) Event(i int) []byte {
	b := fmt.Appendf(nil, cmp.Or(s.IDLine, "id: %d\n"), i)
	return fmt.Appendf(b, "data: %s %d%s", cmp.Or(s.Text, "piece"), i, cmp.Or(s.End, "\n\n"))
}

// completeResponse returns the complete response to a request. A stream starts after the
// event Last-Event-Id.
func (m *ModelWorker) completeResponse(r *http.Request, body []byte) []byte {
	if m.cfg.StreamEvents == 0 {
		return append([]byte("echo:"), body...)
	}
	var b []byte
	shape := StreamShape{
		Text: m.Software(),
	}
	for i := lastEventID(r) + 1; i <= m.cfg.StreamEvents; i++ {
		b = append(b, shape.Event(i)...)
	}
	return b
}

// writeStream writes events with ascending ids, starting after the event Last-Event-Id.
func (m *ModelWorker) writeStream(w http.ResponseWriter, r *http.Request, f WorkerFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	shape, last := f.Resumed, f.CutAfter
	if r.Header.Get("Last-Event-Id") == "" {
		shape, last = f.Fresh, max(f.CutAfter, f.CutFresh)
	}
	shape.Text = cmp.Or(shape.Text, m.Software())
	first := max(lastEventID(r)+1+shape.Shift, 1)
	if f.CutFramed == FramedByLength {
		w.Header().Set("Content-Length", strconv.Itoa(truncatedLength(shape, first, last)))
	}
	w.WriteHeader(http.StatusOK)
	if f.Empty {
		return
	}
	for i := first; i <= m.cfg.StreamEvents; i++ {
		if last > 0 && i > last {
			_, _ = w.Write(partialEvent(i)) // the cut is inside an event
			w.(http.Flusher).Flush()
			if f.CutFramed != "" {
				return
			}
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

// partialEvent returns the start of event i.
func partialEvent(i int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: ha", i)
}

// truncatedLength returns the length of a stream with the events first to last and a part of
// the next one.
func truncatedLength(shape StreamShape, first, last int) int {
	n := len(partialEvent(last + 1))
	for i := first; i <= last; i++ {
		n += len(shape.Event(i))
	}
	return n
}

// lastEventID returns the Last-Event-Id of a request, or zero if there is none.
func lastEventID(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last
}
