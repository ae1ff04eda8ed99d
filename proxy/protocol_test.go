package proxy

import (
	"net/http"
	"testing"

	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

// A refusal without a request ID must end its connection: an instance that writes it once more
// would refuse the next request there, which may be running.
func TestUnnamedRefusalIsTheLastAnswerOfItsConnection(t *testing.T) {
	for _, c := range []struct {
		sent, answered string
		refused        bool
		want           upstream.Match
	}{
		{"r1", "r1", true, upstream.MatchRequest},
		{"r1", "r1", false, upstream.MatchRequest},
		{"r1", "r0", true, upstream.MatchOther},
		{"r1", "r0", false, upstream.MatchOther},
		{"r1", "", true, upstream.MatchLast},
		{"r1", "", false, upstream.MatchRequest},
		{"", "r0", true, upstream.MatchLast},
		{"", "", true, upstream.MatchLast},
		{"", "", false, upstream.MatchRequest},
	} {
		res := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
		if c.refused {
			res.StatusCode = http.StatusServiceUnavailable
			res.Header.Set(verdict.HeaderVerdict, verdict.NotRun.String())
		}
		if c.answered != "" {
			res.Header.Set(HeaderRequestID, c.answered)
		}
		if got := (nativeProtocol{}).MatchAnswer(&Meta{ID: c.sent}, res); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
