package callerconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/httptext"
)

// headScan finds the end of a head and what http.ReadRequest doesn't report. It accepts the
// line ends that http.ReadRequest accepts.
type headScan struct {
	// pos is the beginning of the first line that was not scanned.
	pos   int
	lines int
	// isComplete means that the head ends at pos. isBad means that the first line is no
	// request line, which is refused without waiting for the rest.
	isComplete, isBad bool
	hosts             int
	host              string
	// isHostLast says that the last line was the Host header.
	isHostLast             bool
	hasLength, hasEncoding bool
}

// scan continues with the bytes that were read since the last call.
func (h *headScan) scan(b []byte) {
	for !h.isComplete && !h.isBad {
		n := bytes.IndexByte(b[h.pos:], '\n')
		if n < 0 {
			return
		}
		line := bytes.TrimSuffix(b[h.pos:h.pos+n], []byte("\r"))
		h.pos += n + 1
		h.scanLine(line)
	}
}

func (h *headScan) scanLine(line []byte) {
	h.lines++
	switch {
	case h.lines == 1:
		_, rest, hasMethod := bytes.Cut(line, []byte(" "))
		_, proto, hasTarget := bytes.Cut(rest, []byte(" "))
		_, _, isProto := http.ParseHTTPVersion(string(proto))
		h.isBad = !hasMethod || !hasTarget || !isProto
		return
	case len(line) == 0:
		h.isComplete = true
		return
	case line[0] == ' ' || line[0] == '\t':
		if h.isHostLast {
			// The parser joins the lines like this.
			h.host = strings.TrimLeft(h.host+" "+string(bytes.Trim(line, " \t")), " \t")
		}
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	h.isHostLast = false
	switch {
	case bytes.EqualFold(name, []byte("Host")):
		h.hosts++
		h.host, h.isHostLast = string(bytes.Trim(value, " \t")), true
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.hasEncoding = true
	}
}

// refusal is an answer to a request that can't be parsed. The connection is closed after
// it.
type refusal struct {
	status string
	body   string
}

var (
	refuseTooLarge   = &refusal{"431 Request Header Fields Too Large", "431 Request Header Fields Too Large"}
	refuseEncoding   = &refusal{"501 Not Implemented", "Unsupported transfer encoding"}
	refuseVersion    = newRefusal("505 HTTP Version Not Supported: unsupported protocol version")
	refuseMalformed  = newRefusal("400 Bad Request")
	refuseNoHost     = newRefusal("400 Bad Request: missing required Host header")
	refuseHost       = newRefusal("400 Bad Request: malformed Host header")
	refuseName       = newRefusal("400 Bad Request: invalid header name")
	refuseValue      = newRefusal("400 Bad Request: invalid header value")
	refuseTwoLengths = newRefusal("400 Bad Request: both a length and a transfer encoding")
	// refuseMemory states nothing but what is certain: the request has not run.
	refuseMemory = &refusal{"503 Service Unavailable\r\nRetry-After: 1", "503 Service Unavailable"}
)

func newRefusal(text string) *refusal { return &refusal{text, text} }

func (r *refusal) bytes() []byte {
	return []byte("HTTP/1.1 " + r.status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + r.body)
}

// minHeadBytes is the number of bytes from which on a further head counts as begun, as with
// net/http's server. What ends before is no request that deserves a refusal.
const minHeadBytes = 4

// readHead reads and checks the head of a request. Otherwise it returns the refusal, or nil
// to close the connection without one.
func (c *conn) readHead(isFirst bool) (*http.Request, *refusal, bool) {
	var scan headScan
	out, err := c.bufferHead(&scan, isFirst)
	if out != nil || (err != nil && !errors.Is(err, io.EOF) && !isTimeout(err)) {
		return nil, out, false
	}
	if isTimeout(err) {
		c.s.count(CountHeadTimeout)
	}
	if err != nil && !isFirst && c.br.Buffered()+c.skipped < minHeadBytes {
		return nil, nil, false
	}
	// If the head is not complete, the parser tells whether it is malformed up to there.
	req, parseErr := http.ReadRequest(c.br)
	if err := parseErr; err != nil {
		if errors.Is(err, io.EOF) || isTimeout(err) {
			return nil, nil, false
		}
		c.s.count(CountMalformed)
		// net/http has no exported type for it; a test compares both servers.
		if text := err.Error(); strings.HasPrefix(text, "unsupported transfer encoding") || strings.HasPrefix(text, "too many transfer encodings") {
			return nil, refuseEncoding, false
		}
		return nil, refuseMalformed, false
	}
	if r := checkHead(req, &scan); r != nil {
		c.s.count(CountMalformed)
		return nil, r, false
	}
	return req, nil, true
}

// bufferHead reads until the buffer contains a whole head.
func (c *conn) bufferHead(scan *headScan, isFirst bool) (*refusal, error) {
	defer func() {
		c.mu.Lock()
		c.phase = phaseBusy
		c.mu.Unlock()
	}()
	for hasDeadline := false; ; {
		buffered := c.br.Buffered()
		b, _ := c.br.Peek(buffered)
		if isFirst || buffered+c.skipped >= minHeadBytes {
			scan.scan(b)
		}
		if scan.isComplete || scan.isBad {
			if scan.pos > c.s.maxHead() {
				c.s.count(CountMalformed)
				return refuseTooLarge, nil
			}
			return nil, nil
		}
		if buffered > c.s.maxHead() {
			c.s.count(CountMalformed)
			return refuseTooLarge, nil
		}
		if buffered == c.br.Size() && !c.grow() {
			c.s.count(CountNoMemory)
			return refuseMemory, nil
		}
		if !hasDeadline {
			hasDeadline = true
			c.mu.Lock()
			if c.closing {
				c.mu.Unlock()
				return nil, errClosing
			}
			c.phase = phaseHead
			// The time of the first head runs from the start of the connection.
			if !isFirst || !c.hasReadDeadline {
				c.setReadTimeout(c.s.ReadHeaderTimeout)
			}
			c.mu.Unlock()
		}
		if _, err := c.br.Peek(buffered + 1); err != nil {
			c.mu.Lock()
			closing := c.closing
			c.mu.Unlock()
			if closing {
				return nil, errClosing
			}
			return nil, err
		}
	}
}

var errClosing = errors.New("the connection is closing")

// checkHead makes the checks that net/http's server makes after http.ReadRequest. Beyond
// them it refuses a request with both a length and a transfer encoding, of which another
// server might believe the length.
func checkHead(req *http.Request, scan *headScan) *refusal {
	switch {
	case req.ProtoMajor != 1:
		return refuseVersion
	case req.ProtoAtLeast(1, 1) && scan.hosts == 0 && req.Method != http.MethodConnect:
		return refuseNoHost
	case scan.hosts > 0 && !hostBytes.HasAll(scan.host):
		return refuseHost
	case scan.hasLength && scan.hasEncoding:
		return refuseTwoLengths
	}
	for name, values := range req.Header {
		if !httptext.IsToken(name) {
			return refuseName
		}
		for _, v := range values {
			if !httptext.IsFieldValue(v) {
				return refuseValue
			}
		}
	}
	return nil
}

// grow doubles the buffer for a large head. It returns false if the budget doesn't allow
// it.
func (c *conn) grow() bool {
	size := min(2*c.br.Size(), max(c.s.maxHead()+1, 2*bufferBytes))
	more := size - c.br.Size()
	if !c.s.reserve(more) {
		return false
	}
	c.grown += more
	c.replaceReader(bufio.NewReaderSize(&c.src, size))
	return true
}

// shrink returns to a small buffer after a large head.
func (c *conn) shrink() {
	if c.grown == 0 || c.br.Buffered() > bufferBytes {
		return
	}
	small, _ := readers.Get().(*bufio.Reader)
	small.Reset(&c.src)
	c.replaceReader(small)
	c.s.release(c.grown)
	c.grown = 0
}

// replaceReader moves what is buffered to another reader.
func (c *conn) replaceReader(br *bufio.Reader) {
	n := c.br.Buffered()
	b, _ := c.br.Peek(n)
	if n > 0 {
		c.src.pending = bytes.Clone(b)
	}
	old := c.br
	c.br = br
	_, _ = c.br.Peek(n)
	if old.Size() == bufferBytes {
		old.Reset(nil)
		readers.Put(old)
	}
}

// hostBytes are those of RFC 3986, section 3.2.2, with a port.
var hostBytes = httptext.NewSet(httptext.Alphanumeric + "!$%&'()*+,-.:;=[]_~")

// hasToken reports whether a list contains a token, in any case. Like net/http's server, it
// takes spaces for separators too.
func hasToken(list, token string) bool {
	if len(list) < len(token) {
		return false
	}
	for part := range strings.FieldsFuncSeq(list, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' }) {
		if strings.EqualFold(part, token) {
			return true
		}
	}
	return false
}
