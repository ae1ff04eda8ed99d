package quiesce

import "net/http"

// Handler adds "Connection: close" to the answers of next from the time at which isLeaving
// returns true, so that callers send no further request on their connections.
func Handler(next http.Handler, isLeaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&writer{w, isLeaving}, r)
	})
}

// writer sets the header when the answer begins, which may be long after the request.
type writer struct {
	http.ResponseWriter
	isLeaving func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if w.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is called by http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
