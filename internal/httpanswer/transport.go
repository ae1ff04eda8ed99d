package httpanswer

import (
	"net"
	"net/http"
)

// NewTransport returns a transport for HTTP/1.1 that rejects broken answers: those without a length
// whose connection was lost with the loss, when their body is read. It changes base, which must not
// be used otherwise.
func NewTransport(base *http.Transport) http.RoundTripper {
	if base.DialContext == nil {
		base.DialContext = new(net.Dialer).DialContext
	}
	base.DialContext = Dialer(base.DialContext)
	base.Protocols = new(http.Protocols)
	base.Protocols.SetHTTP1(true)
	return base
}
