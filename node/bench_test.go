package node

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
)

// benchStubs replaces the dependencies of the handler that are not measured.
type benchStubs struct{ service *register.Service }

func (p benchStubs) Service(string) *register.Service { return p.service }
func (benchStubs) CountRequest(string, string)        {}
func (benchStubs) TakeRetry(string, string) bool      { return true }

// serveRaw answers each request without allocating, so that the results are those of
// the entry VM alone.
func serveRaw(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	body := bytes.Repeat([]byte("a"), 1024)
	answer := append([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1024\r\n\r\n"), body...)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					// Each request here ends with an empty line; an empty chunked
					// body has a second one.
					chunked := false
					for {
						line, err := r.ReadSlice('\n')
						if err != nil {
							return
						}
						chunked = chunked || bytes.HasPrefix(line, []byte("Transfer-Encoding: chunked"))
						if len(line) == 2 {
							break
						}
					}
					if chunked {
						if _, err := r.Discard(len("0\r\n\r\n")); err != nil {
							return
						}
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkRequest measures the request path of one entry VM over loopback: a
// read of 1 KB through the handler, the selector and the client side.
func BenchmarkRequest(b *testing.B) {
	s := newTestSelector(8, 100)
	p := s.pools[poolKey{"s", ""}]
	p.mu.Lock()
	for id := range p.addresses {
		p.addresses[id] = serveRaw(b)
	}
	p.mu.Unlock()
	// Hedges depend on the load of the machine and would change the results.
	p.balancer = balance.New(balance.Config{HedgePercent: -1}, 1)
	var list []balance.Instance
	for id := range p.addresses {
		list = append(list, balance.Instance{ID: id, Slots: 100})
	}
	p.setInstances(time.Now(), list, p.addresses)
	stubs := benchStubs{&register.Service{Name: "s", TimeoutMillis: 10_000}}
	metrics := metric.New()
	b.Cleanup(func() { _ = metrics.Close() })
	h := proxy.New(proxy.Options{Services: stubs, Selector: s, Budget: stubs, Metrics: metrics})
	h.SetReady(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { server.Close() })

	request := []byte("GET /page HTTP/1.1\r\nHost: s\r\nX-Request-Id: 1\r\n\r\n")
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	start := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		for pb.Next() {
			if _, err := c.Write(request); err != nil {
				b.Error(err)
				return
			}
			if err := readAnswer(r); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
}

// readAnswer reads one answer of 1 KB.
func readAnswer(r *bufio.Reader) error {
	first := true
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if first && !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
			return io.ErrUnexpectedEOF
		}
		first = false
		if len(line) == 2 {
			_, err = r.Discard(1024)
			return err
		}
	}
}
