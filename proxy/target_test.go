package proxy

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// targets are request targets whose bytes matter, with the path by which they are routed.
var targets = map[string]string{
	"/orders/AT%2F17":              "/orders/AT%2F17",
	"/orders/AT%2f17?x=%2f":        "/orders/AT%2f17",
	"/orders/%41%54/17":            "/orders/%41%54/17",
	"/a%25b":                       "/a%25b",
	"/a/./b/../c":                  "/a/./b/../c",
	"//a//b":                       "//a//b",
	"/a|b":                         "/a|b",
	"/a\"b<c>^`{}":                 "/a\"b<c>^`{}",
	"/gr\xc3\xb6\xc3\x9fen/1":      "/gr\xc3\xb6\xc3\x9fen/1",
	"/gr%C3%B6%C3%9Fen/1":          "/gr%C3%B6%C3%9Fen/1",
	"/a?":                          "/a",
	"/a?b?c=/d":                    "/a",
	"/a#b":                         "/a#b",
	"/a;b=c,d":                     "/a;b=c,d",
	"/a+b&c=d$e!f*g'(h)":           "/a+b&c=d$e!f*g'(h)",
	"http://shop.example/a%2Fb?c":  "/a%2Fb",
	"odd://x/%2F":                  "/%2F",
	"http://shop.example":          "/",
	"http://shop.example?q=1":      "/",
	"http://shop.example/x?u=a://": "/x",
	"/x?u=http://a/":               "/x",
	"*":                            "*",
}

// readTarget reads a request with a target as a server does, and returns it unless the server
// rejects it.
func readTarget(text string) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + text + " HTTP/1.1\r\nHost: shop.example\r\n\r\n")))
	if err != nil {
		return nil
	}
	return r
}

// forwarded returns the target that an instance reads.
func forwarded(r *http.Request) (string, error) {
	u, err := parseTarget(r).forwardURL("127.0.0.1:80")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if err := (&http.Request{Method: http.MethodGet, URL: u, Host: r.Host}).Write(&out); err != nil {
		return "", err
	}
	line, _, _ := strings.Cut(out.String(), "\r\n")
	return strings.TrimSuffix(strings.TrimPrefix(line, "GET "), " HTTP/1.1"), nil
}

// A request must be routed by the bytes of its path that reach the instance. By the decoded
// path, an order whose number contains an encoded slash is another route's request.
func TestTargetsAreRoutedAndForwardedAsSent(t *testing.T) {
	for text, path := range targets {
		r := readTarget(text)
		if r == nil {
			t.Errorf("%s: rejected", text)
			continue
		}
		if got := RequestPath(r); got != path {
			t.Errorf("%s: routed by %s", text, got)
		}
		want := text
		if text[0] != '/' && text != "*" {
			want = strings.TrimPrefix(strings.TrimPrefix(text, "http://shop.example"), "odd://x")
			if !strings.HasPrefix(want, "/") {
				want = "/" + want
			}
		}
		if got, err := forwarded(r); err != nil || got != want {
			t.Errorf("%s: forwarded as %q, %v", text, got, err)
		}
	}
}

// A path that can't be forwarded unchanged must be rejected, never rewritten.
func TestUnforwardableTargetIsRejected(t *testing.T) {
	if got, err := forwarded(readTarget("//a|b")); err == nil {
		t.Errorf("forwarded as %q", got)
	}
}

// The path by which a request is routed must be the one that is forwarded, whatever its bytes.
func FuzzTarget(f *testing.F) {
	for text := range targets {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if strings.ContainsAny(text, " \r\n\t") {
			return
		}
		r := readTarget(text)
		if r == nil {
			return
		}
		got, err := forwarded(r)
		if err != nil {
			return
		}
		again := readTarget(got)
		if again == nil {
			t.Fatalf("%q: forwarded as %q, which is no target", text, got)
		}
		if RequestPath(r) != RequestPath(again) || again.RequestURI != got {
			t.Fatalf("%q: routed by %q, but the instance reads %q", text, RequestPath(r), RequestPath(again))
		}
		if strings.HasPrefix(text, "/") && got != text {
			t.Fatalf("%q: forwarded as %q", text, got)
		}
	})
}
