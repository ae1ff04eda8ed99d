package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// StartServer starts a server at a loopback address that calls serve for each of its
// connections, and closes the connection afterwards, at the latest when the test ends.
func StartServer(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	ended := make(chan struct{})
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				served := make(chan struct{})
				defer close(served)
				defer c.Close()
				group.Go(func() {
					select {
					case <-served:
					case <-ended:
						c.Close()
					}
				})
				serve(c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() { l.Close(); close(ended); group.Wait() })
	return l.Addr().String()
}

// EarlyAnswer is how a server answers a request without having read its body.
type EarlyAnswer struct {
	// ReadBytes is how much of the body is read before the answer, and Delay how long the server
	// waits after that. A negative ReadBytes means the whole body.
	ReadBytes int64
	Delay     time.Duration
	// IsReset says that the connection is reset after the answer. Otherwise the server ends its
	// side in an orderly way, and reads the rest of the body.
	IsReset bool
}

// EarlyAnswers returns answers to an upload, by when they are sent and how their connection ends.
func EarlyAnswers() map[string]EarlyAnswer {
	out := make(map[string]EarlyAnswer)
	for name, a := range map[string]EarlyAnswer{
		"at once": {}, "after a while": {Delay: 100 * time.Millisecond}, "after a part": {ReadBytes: 1 << 20}, "after the upload": {ReadBytes: -1},
	} {
		out["orderly end "+name] = a
		a.IsReset = true
		out["reset "+name] = a
	}
	return out
}

// Write answers the request whose body is given with a text.
func (a EarlyAnswer) Write(c *net.TCPConn, body io.Reader, text string) {
	if a.ReadBytes < 0 {
		_, _ = io.Copy(io.Discard, body)
	} else {
		_, _ = io.CopyN(io.Discard, body, a.ReadBytes)
	}
	time.Sleep(a.Delay)
	_, _ = io.WriteString(c, text)
	if a.IsReset {
		resetOnClose(c)
		c.Close()
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
	// The client closes once it has the answer.
	_, _ = io.Copy(io.Discard, c)
}

// Serve returns a function for StartServer that answers one request with a text.
func (a EarlyAnswer) Serve(text string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			a.Write(c, req.Body, text)
		}
	}
}
