package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/verdict"
)

// The handler with the options of the native daemon must pass no malformed answer on, nor say of its
// request that it has not run.
func TestMalformedAnswersArePassedOnToNobody(t *testing.T) {
	const fields, body = HeaderRequestID + ": r\r\n", "body"
	for name, text := range testkit.MalformedAnswers(fields, body) {
		f := newFixture(t, testkit.StartServer(t, testkit.EarlyAnswer{ReadBytes: -1}.Serve(text)))
		res, got, err := f.do(t, http.MethodPost, "/order", "x", HeaderRequestID, "r")
		if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get(verdict.HeaderVerdict) != verdict.MayHaveRun.String() {
			t.Errorf("%s: %v, body %q, %v; want 502 that may have run", name, res, got, err)
		}
	}
}

// A part of an answer must not be passed on as the whole one when an instance resets the connection
// during an upload, where answers without a length are accepted.
func TestResetDuringUploadIsPassedOnToNobody(t *testing.T) {
	const body = "a part"
	testkit.CheckEarly(t, HeaderRequestID+": r\r\n", body, func(_ context.Context, address string) error {
		f := newFixture(t, address)
		f.handler.options.AcceptUnframed = true
		res, got, err := f.do(t, http.MethodPost, "/order", string(make([]byte, 8<<20)), HeaderRequestID, "r")
		if err == nil && (res.StatusCode != http.StatusOK || string(got) != body) {
			err = errors.Errorf("status %d, body %q", res.StatusCode, got)
		}
		return err
	})
}

// A caller of HTTP/1.0 must not take a part of an answer for the whole one: without a length, it knows
// the end of an answer only by that of the connection.
func TestCutAnswerIsNotWholeToHTTP10(t *testing.T) {
	address, _ := rawUpstream(t, func(int) (string, bool) {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("x", 200_000), false
	})
	f := newFixture(t, address)
	encrypted := httptest.NewUnstartedServer(f.handler)
	encrypted.StartTLS()
	defer encrypted.Close()
	for name, dial := range map[string]func() (net.Conn, error){
		"plain": func() (net.Conn, error) { return net.Dial("tcp", f.server.Listener.Addr().String()) },
		"TLS": func() (net.Conn, error) {
			return tls.Dial("tcp", encrypted.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // The certificate is that of a test.
		},
	} {
		c, err := dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(c, "GET /read HTTP/1.0\r\nHost: proefbank.example\r\n\r\n")
		if data, err := io.ReadAll(c); err == nil {
			t.Errorf("%s: %d bytes look like a whole answer: %.40q", name, len(data), data)
		}
	}
}
