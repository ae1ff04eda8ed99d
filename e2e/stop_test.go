package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// A stopping VM must refuse requests that reach it on kept connections after its listener is
// closed, by the delay of a slow link, and those that may outlast its stop_timeout.
func TestGracefulStopRefusesWhatComesLate(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.waitOrders(5 * time.Second)
	v := c.vms[1]
	type kept struct {
		net.Conn
		r *bufio.Reader
	}
	dial := func() *kept {
		nc, err := net.Dial("tcp", v.callerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		_ = nc.SetDeadline(time.Now().Add(30 * time.Second))
		return &kept{nc, bufio.NewReader(nc)}
	}
	read := func(k *kept, id string, timeout time.Duration) *http.Response {
		if _, err := fmt.Fprintf(k, "GET /%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nCurrantferry-Timeout-Ms: %d\r\n\r\n", id, service, id, timeout.Milliseconds()); err != nil {
			t.Errorf("%s: %v", id, err)
		}
		res, err := http.ReadResponse(k.r, nil)
		if err != nil {
			t.Errorf("%s: %v", id, err)
			return &http.Response{}
		}
		_, _ = io.Copy(io.Discard, res.Body)
		return res
	}
	expectRefusal := func(id string, res *http.Response) {
		if v := res.Header.Get(verdict.HeaderVerdict); res.StatusCode != http.StatusServiceUnavailable || v != verdict.NotRun.String() || res.Header.Get("Retry-After") == "" || !res.Close {
			t.Errorf("%s: status %d, verdict %q, header %v", id, res.StatusCode, v, res.Header)
		}
	}
	idle, long := dial(), dial()
	if res := read(idle, "first", 2*time.Second); res.StatusCode != http.StatusOK || res.Close {
		t.Fatalf("first: status %d", res.StatusCode)
	}
	v.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	expectRefusal("long", read(long, "long", time.Minute))
	c.eventually(10*time.Second, "the listener is closed", func() bool {
		nc, err := net.Dial("tcp", v.callerAddress)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	time.Sleep(600 * time.Millisecond)
	expectRefusal("late", read(idle, "late", 2*time.Second))
	<-v.exited
	if code := v.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit status %d:\n%s", code, v.log)
	}
}
