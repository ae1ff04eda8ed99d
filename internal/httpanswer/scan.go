package httpanswer

import (
	"bytes"
	"strings"
)

// HeadScan counts the lines of a head as its bytes arrive, up to the empty line at its end, and finds
// what http.ReadResponse doesn't report. The zero value scans nothing.
type HeadScan struct {
	linesLeft int
	isActive  bool
	// isLineEmpty says that the current line has no bytes so far except carriage returns.
	isLineEmpty bool
	// lineStart holds the first bytes of the current line, and startBytes their number.
	lineStart  [len(encodingField)]byte
	startBytes int
	// hasEncoding says that a line has the field Transfer-Encoding.
	hasEncoding bool
	// hasStatus says that the status line was scanned, and isInterim that it is that of an interim
	// answer.
	hasStatus, isInterim bool
}

// encodingField begins the line of the field Transfer-Encoding, in any case.
const encodingField = "transfer-encoding:"

// Begin begins a head that may have so many lines.
func (h *HeadScan) Begin(maxLines int) { *h = HeadScan{linesLeft: maxLines, isActive: true} }

// Scan scans bytes that were read, and returns those behind the end of the head. ok is false if the
// head has more lines than allowed.
func (h *HeadScan) Scan(p []byte) (rest []byte, ok bool) {
	for len(p) > 0 && h.isActive {
		k := bytes.IndexByte(p, '\n')
		line, hasEnd := p, k >= 0
		if hasEnd {
			line = p[:k]
		}
		h.isLineEmpty = h.isLineEmpty && len(bytes.TrimRight(line, "\r")) == 0
		h.startBytes += copy(h.lineStart[h.startBytes:], line)
		if !hasEnd {
			return nil, true
		}
		p = p[k+1:]
		if h.isLineEmpty {
			h.isActive = false
			break
		}
		if !h.hasStatus {
			_, status, _ := bytes.Cut(h.lineStart[:h.startBytes], []byte(" "))
			h.hasStatus, h.isInterim = true, bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
		}
		h.hasEncoding = h.hasEncoding || strings.EqualFold(string(h.lineStart[:h.startBytes]), encodingField)
		h.isLineEmpty, h.startBytes = true, 0
		if h.linesLeft--; h.linesLeft < 0 {
			return p, false
		}
	}
	return p, true
}
