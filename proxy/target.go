package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// target is the path and the query of a request as its caller sent them. Everything that
// depends on the path is decided by these bytes, since they are what is forwarded: decoding
// them first would take an encoded slash for the end of a segment.
type target struct {
	path, query string
	hasQuery    bool
}

// RequestPath returns the path of a request as its caller sent it, with its encoding.
func RequestPath(r *http.Request) string { return parseTarget(r).path }

func parseTarget(r *http.Request) target {
	text := r.RequestURI
	if text == "" {
		// The request was not read by a server.
		text = r.URL.RequestURI()
	}
	if !strings.HasPrefix(text, "/") {
		// The absolute form names the host as well, which r.Host holds.
		if _, rest, found := strings.Cut(text, "://"); found {
			text = "/"
			if at := strings.IndexAny(rest, "/?"); at >= 0 {
				text = rest[at:]
			}
			if text[0] == '?' {
				text = "/" + text
			}
		}
	}
	var t target
	t.path, t.query, t.hasQuery = strings.Cut(text, "?")
	return t
}

func (t target) String() string {
	if t.hasQuery {
		return t.path + "?" + t.query
	}
	return t.path
}

var errTarget = errors.New("the path can't be forwarded unchanged")

// forwardURL returns a URL that net/http writes exactly as the target.
func (t target) forwardURL(address string) (*url.URL, error) {
	decoded, err := url.PathUnescape(t.path)
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	u := &url.URL{Scheme: "http", Host: address, Opaque: t.path, RawQuery: t.query, ForceQuery: t.hasQuery}
	if strings.HasPrefix(t.path, "//") {
		// An opaque part that begins like this would be taken for a host.
		u.Opaque, u.Path, u.RawPath = "", decoded, t.path
	}
	if u.RequestURI() != t.String() {
		return nil, errTarget
	}
	return u, nil
}
