package proxy

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/callerguard"
	"github.com/currantferry/currantferry/standin"
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

// An order that another VM refuses before it has read it, as a VM does whose memory for callers is
// used up, has not run. It must go to a VM that takes it, or be refused as not run: it got 502, as
// if it may have run.
func TestOrderThatAnotherVMDidNotReadIsNotRun(t *testing.T) {
	other := startOtherVM(t, startUpstream(t, standin.UpstreamOptions{ID: "u"}).Address())
	// It has memory for a connection, but for no head.
	guard := callerguard.New(callerguard.Options{
		Limits: callerguard.Limits{MemoryBytes: 16 << 10}, Ports: []string{"peer"}, RefusalHeaders: map[string]string{"peer": UnreadRefusal},
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	full := httptest.NewUnstartedServer(http.HandlerFunc(other.handler.ServeTransit))
	full.Listener = guard.Protect("peer", full.Config, full.Listener)
	full.Start()
	t.Cleanup(full.Close)
	address := full.Listener.Addr().String()
	for name, vms := range map[string][]string{"another one takes it": {address, other.address}, "none takes it": {address}} {
		t.Run(name, func(t *testing.T) {
			f, lose := newPathFixture(t)
			lose()
			f.vms = vms
			res, _, err := f.do(t, "POST", "/order", "x")
			if err != nil {
				t.Fatal(err)
			}
			f.checkAllEnded(t)
			if len(vms) > 1 {
				if res.StatusCode != http.StatusOK {
					t.Errorf("status %d, verdict %q, reason %q", res.StatusCode, res.Header.Get(verdict.HeaderVerdict), res.Header.Get(verdict.HeaderReason))
				}
				return
			}
			wantVerdict(t, res, verdict.NotRun, verdict.ReasonOverloaded)
			if res.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// A VM of an older release states no routes, which is no error; a malformed statement is one.
func TestRoutesOfPassedOnRequests(t *testing.T) {
	for text, want := range map[string]bool{"": true, "0.7.3": true, "2.18446744073709551615.3": true, "7.3": false, "1.2.3.4": false, "1.-2.3": false, "01.2.3": false, "x": false} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(headerTransitLeft, "100")
		r.Header.Set(headerTransitAttempts, "1")
		if text != "" {
			r.Header.Set(headerTransitRoutes, text)
		}
		got, err := parseTransit(r)
		if (err == nil) != want {
			t.Errorf("%q: %v", text, err)
		}
		if want && text != "" && got.routes.String() != text {
			t.Errorf("%q is read as %s", text, got.routes)
		}
	}
}
