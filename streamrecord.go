package wardturn

// StreamRecord records where the stream of one attempt began.
type StreamRecord struct {
	Attempt string
	Origin  StreamOrigin
}

// OriginStore keeps the origins of streams in the platform's metadata store, so that they
// outlive the processes that hold them in memory. The store drops records by itself when no
// caller can resume their streams any more.
type OriginStore interface {
	// AppendOrigins adds records. After an error they may or may not have been added.
	AppendOrigins(list []StreamRecord) error
	// NextOrigins returns all records on the first call, and those added since the previous
	// call after that. It must be called from one goroutine at a time.
	NextOrigins() ([]StreamRecord, error)
}
