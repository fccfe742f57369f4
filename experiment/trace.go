package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// Request is a request of a trace, encoded as one line of JSON.
type Request struct {
	AtMS         int64              `json:"at_ms"` // since the start of the trace
	Caller       wardturn.CallerID  `json:"caller"`
	Adapter      wardturn.AdapterID `json:"adapter"`
	Version      wardturn.Version   `json:"version"`
	Class        string             `json:"class"` // interactive or batch
	PromptTokens wardturn.Tokens    `json:"prompt_tokens"`
	OutputTokens wardturn.Tokens    `json:"output_tokens"`
	DeadlineMS   int64              `json:"deadline_ms,omitempty"` // after the arrival; zero: none
}

// ArrivalTime returns the arrival time, since the start of the trace.
func (r Request) ArrivalTime() time.Duration {
	return time.Duration(r.AtMS) * time.Millisecond
}

// AdapterRef returns the requested adapter version.
func (r Request) AdapterRef() wardturn.AdapterRef {
	return wardturn.AdapterRef{
		Adapter: r.Adapter,
		Version: r.Version,
	}
}

// Limits of the values of a trace. ReadTrace rejects lines that exceed them.
const (
	maxTraceLine   = 64 << 10
	maxTraceTokens = 1 << 20
)

// ErrBadTrace is wrapped by the errors of ReadTrace, whose messages contain the file and
// the line.
var ErrBadTrace = errors.New("experiment: bad trace")

// ReadTrace reads a trace and validates it. file is the name for error messages.
func ReadTrace(file string, r io.Reader) ([]Request, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, maxTraceLine), maxTraceLine)
	var trace []Request
	line := 0
	for sc.Scan() {
		line++
		text := bytes.TrimSpace(sc.Bytes())
		if len(text) == 0 {
			continue
		}
		req, reason := parseLine(text)
		if reason == "" && len(trace) > 0 && req.AtMS < trace[len(trace)-1].AtMS {
			reason = "at_ms is lower than on the line before"
		}
		if reason != "" {
			return nil, errors.Wrapf(ErrBadTrace, "%s:%d: %s", file, line, reason)
		}
		trace = append(trace, req)
	}
	if err := sc.Err(); err != nil {
		return nil, errors.Wrapf(ErrBadTrace, "%s:%d: %s", file, line+1, err)
	}
	if len(trace) == 0 {
		return nil, errors.Wrapf(ErrBadTrace, "%s:1: no requests", file)
	}
	return trace, nil
}

// parseLine decodes a line. reason is empty if the line is valid.
func parseLine(text []byte) (req Request, reason string) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return req, err.Error()
	}
	if dec.More() {
		return req, "more than one object"
	}
	return req, req.invalidReason()
}

// invalidReason returns why a request is invalid, or an empty string.
func (r Request) invalidReason() string {
	switch {
	case r.AtMS < 0:
		return "at_ms is negative"
	case !wardturn.ValidName(string(r.Adapter)):
		return fmt.Sprintf("adapter %q is not a name", r.Adapter)
	case r.Version < 1:
		return "version must be 1 or more"
	case r.PromptTokens < 1 || r.PromptTokens > maxTraceTokens:
		return "prompt_tokens must be from 1 to 1048576"
	case r.OutputTokens < 1 || r.OutputTokens > maxTraceTokens:
		return "output_tokens must be from 1 to 1048576"
	case r.DeadlineMS < 0:
		return "deadline_ms is negative"
	}
	if _, ok := wardturn.ParseClass(r.Class); !ok || r.Class == "" {
		return fmt.Sprintf("class %q is neither interactive nor batch", r.Class)
	}
	return ""
}

// WriteTrace writes a trace as JSON lines.
func WriteTrace(w io.Writer, trace []Request) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	for i := range trace {
		if err := enc.Encode(trace[i]); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return errors.Wrap(buf.Flush(), "write trace")
}
