package httpanswer

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/httptext"
)

// ErrMalformed means that bytes which net/http accepts are no answer of HTTP/1.1, RFC 9112.
var ErrMalformed = errors.New("malformed answer")

// CheckHead checks the head of an answer that http.ReadResponse or an http.Transport accepted, with
// the result of its scan. It returns an error that wraps ErrMalformed if the head is malformed.
func CheckHead(res *http.Response, scan *HeadScan) error {
	switch {
	case res.ProtoMajor != 1:
		return errors.WithMessagef(ErrMalformed, "version %.10q", res.Proto)
	case res.StatusCode < http.StatusContinue, !httptext.IsFieldValue(res.Status):
		return errors.WithMessagef(ErrMalformed, "status %.40q", res.Status)
	case scan.hasEncoding && !res.ProtoAtLeast(1, 1):
		// net/http ignores the field, but the end of the body isn't known (RFC 9112, section 6.1).
		return errors.WithMessage(ErrMalformed, "transfer encoding in HTTP/1.0")
	}
	return checkNames(res.Header)
}

// checkNames checks the names of fields.
func checkNames(h http.Header) error {
	for name := range h {
		if !httptext.IsToken(name) {
			return errors.WithMessagef(ErrMalformed, "field name %.40q", name)
		}
	}
	return nil
}
