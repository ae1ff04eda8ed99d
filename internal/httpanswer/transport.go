package httpanswer

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
)

// MaxInterimAnswers bounds the interim answers before an answer: one every few seconds while a server
// processes a long request.
const MaxInterimAnswers = 64

// NewTransport returns a transport for HTTP/1.1 that rejects broken answers: those with a malformed
// head with an error that wraps ErrMalformed, and those without a length whose connection was lost
// with the loss, when their body is read. It changes base, which must not be used otherwise.
//
// It doesn't notice a transfer encoding in answers of HTTP/1.0 over TLS, which net/http ignores.
func NewTransport(base *http.Transport) http.RoundTripper {
	if base.DialContext == nil {
		base.DialContext = new(net.Dialer).DialContext
	}
	base.DialContext = Dialer(base.DialContext)
	base.Protocols = new(http.Protocols)
	base.Protocols.SetHTTP1(true)
	return &transport{base}
}

// transport checks the heads of answers.
type transport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	scan := func() *HeadScan { return new(HeadScan) }
	numInterim := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// Those with TLS aren't scanned.
			if c, ok := info.Conn.(*conn); ok {
				c.expectAnswer()
				scan = c.scanned
			}
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			// With this function net/http accepts them without end.
			if numInterim++; numInterim > MaxInterimAnswers {
				return errors.WithMessagef(ErrMalformed, "more than %d interim answers", MaxInterimAnswers)
			}
			return checkNames(http.Header(h))
		},
	})
	res, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res, scan()); err != nil {
		res.Body.Close()
		// What follows on the connection may look like the answer to the next request. It is
		// idle if the answer had no body; net/http has no means to close it alone.
		t.base.CloseIdleConnections()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
