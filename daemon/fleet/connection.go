package fleet

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// DoTracked sends a request. connected reports whether the request got a connection; without one no byte of
// it was sent, and none will be.
func DoTracked(client *http.Client, request *http.Request) (response *http.Response, connected bool, err error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	response, err = client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	return response, got.Load(), err
}
