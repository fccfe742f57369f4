package standin

import "time"

// WorkerFaults are the faults of a ModelWorker.
type WorkerFaults struct {
	LoseOrders  bool          // orders are neither executed nor answered
	LateOrders  bool          // orders are not answered, and executed after a delay if they are still valid
	LoseAnswers bool          // requests run and are not answered
	Stranger    bool          // the response to another request is sent first
	CutAfter    int           // number of events after which streams are cut; zero: never
	CutFresh    int           // the same for streams that are not resumed
	CutFramed   BodyFraming   // framing that a stream which is cut completes; empty: none, it is aborted
	Empty       bool          // streams have no events
	Unframed    bool          // responses have neither length nor chunks, and end with a regular close
	Padding     int           // bytes appended to responses that are not streams
	Full        bool          // requests are rejected
	MaxRunning  int           // more requests at once are rejected; zero: no limit
	Slots       int           // requests that run at once, also stated in the entry; zero: no limit, 8 stated
	Queue       int           // requests that wait for one of the Slots; more are rejected
	Error       bool          // requests run and fail
	HoldUp      time.Duration // between the arrival of a request and its start
	Think       time.Duration // between the start of a request and its response
	Linger      time.Duration // added to the pause between events
	HideRuns    bool          // reports do not list the runs
	NoReport    bool          // requests for the report are answered with 404
	CrashOn     string        // a request with this body crashes the worker; empty: none
	CrashOnPart []string      // requests with one of these parts in their prompts do so as their response begins
	Fresh       StreamShape   // format of streams that are not resumed
	Resumed     StreamShape   // format of resumed streams
	Limit       string        // value of the header Server-Limit, in requests per second; empty: no header
	Leaving     string        // value of the header Server-Leaving; 1: the worker is leaving; empty: no header
	RetryAfter  []string      // values of the header Retry-After of refusals
}

// BodyFraming is how a response marks the end of its body.
type BodyFraming string

const (
	FramedByLength BodyFraming = "length"
	FramedByChunks BodyFraming = "chunks"
)
