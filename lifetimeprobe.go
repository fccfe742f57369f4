package wardturn

// LifetimeProbe asks an upstream which of its lifetimes answers on a connection. The request
// runs nothing.
type LifetimeProbe interface {
	// Path returns the path of the GET request.
	Path() string
	// StartMS decodes the body of a successful response. It returns the start time of the
	// lifetime in Unix milliseconds, or zero if the upstream does not report it.
	StartMS(body []byte) int64
}
