package entry

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/julienschmidt/httprouter"

	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/proxy"
)

// A stopping VM must ask other VMs to close the connections of the requests that they pass on.
// An order that is written to an idle connection while the process exits may have run as far as
// the other VM can tell, and its caller gets 502; a new connection is refused, and the order is
// passed on elsewhere.
func TestStoppingVMClosesConnectionsOfOtherVMs(t *testing.T) {
	metrics := metric.New()
	t.Cleanup(func() { metrics.Close() })
	n := &Node{log: slog.New(slog.DiscardHandler)}
	n.self.TransitKey = "key"
	// It is not ready and refuses all requests, which is answered as others are.
	n.proxy = proxy.New(proxy.Options{Metrics: metrics, Log: n.log})
	server := httptest.NewServer(n.transitHandler(httprouter.New()))
	t.Cleanup(server.Close)
	for _, isLeaving := range []bool{false, true} {
		n.leaving.Store(isLeaving)
		for _, key := range []string{"key", "wrong"} {
			req, err := http.NewRequest(http.MethodGet, server.URL+"/reads/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(proxy.HeaderTransit, "1")
			req.Header.Set(proxy.HeaderTransitKey, key)
			res, err := server.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			if res.Header.Get(proxy.HeaderTransit) != "1" || res.Close != isLeaving {
				t.Errorf("leaving: %v, key %q: header %v, the connection closes: %v", isLeaving, key, res.Header, res.Close)
			}
		}
	}
}
