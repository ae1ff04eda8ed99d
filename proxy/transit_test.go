package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// fullSelector takes no request of another VM over.
type fullSelector struct{ *fixture }

func (fullSelector) AdmitTransit(*Query) error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, time.Second)
}

// A VM that takes no more requests of other VMs over must refuse one before its body has crossed
// the link: refused uploads alone would fill the link of a small VM, and its calls to the store
// would time out.
func TestPassedOnRequestIsRefusedBeforeItsBody(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 60000\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		f := newFixture(t, "127.0.0.1:1")
		f.handler.options.Selector = fullSelector{f}
		server := httptest.NewServer(http.HandlerFunc(f.handler.ServeTransit))
		t.Cleanup(server.Close)
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_, _ = fmt.Fprintf(c, "POST /order HTTP/1.1\r\nHost: proefbank.example\r\n%s: 1\r\n%s: 5000\r\n%s: 1\r\n%s\r\n",
			HeaderTransit, headerTransitLeft, headerTransitAttempts, framing)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: no answer before the body: %v", name, err)
			continue
		}
		res.Body.Close()
		if got := res.Header.Get(headerTransitVerdict); !strings.HasPrefix(got, "not-run overloaded") || !res.Close {
			t.Errorf("%s: verdict %q, the connection closes: %v", name, got, res.Close)
		}
	}
}
