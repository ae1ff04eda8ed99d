package testkit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// ServeText returns a function for StartServer that reads each request, writes the text and
// ends its side of the connection. It goes on reading until the client closes.
func ServeText(text string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, text)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	}
}

// MalformedAnswers returns answers that no client may accept, by their fault. fields holds
// the lines by which they would match their request, each with its line end.
func MalformedAnswers(fields, body string) map[string]string {
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	sound := "HTTP/1.1 200 OK\r\n" + fields + whole
	out := map[string]string{
		"status 000 without length":   "HTTP/1.1 000 None\r\n" + fields + "\r\n" + body,
		"status 000 before an answer": "HTTP/1.1 000 None\r\n\r\n" + sound,
		"status 000 around an answer": fmt.Sprintf("HTTP/1.1 000 None\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(sound), sound),
	}
	for _, status := range []string{"000", "099", "+20", "-00"} {
		out["status "+status] = "HTTP/1.1 " + status + " None\r\n" + fields + whole
	}
	return out
}
