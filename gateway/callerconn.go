package gateway

import (
	"context"
	"net"
	"net/http"

	"wardturn/process"
)

// callerConn is a connection of a caller.
type callerConn struct {
	*process.HeadConn
	slot   *process.ConnSlot // busy once a request has been read completely
	server *http.Server      // that serves the connection
}

type callerConnKey struct{}

// callerConnOf returns the connection of a request, or nil if a callerServer does not serve it.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

func withCallerConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, nc)
}

// markRunning records that a request was read completely. It reports false if the connection was
// closed before in favor of another one: the request must not run.
func markRunning(r *http.Request) bool {
	c := callerConnOf(r)
	return c == nil || c.slot.Busy()
}
