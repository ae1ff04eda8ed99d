package register

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// setLines sets the line of each error in errs from the position of its field in
// data.
func setLines(data []byte, errs Errors) {
	locator := &pathLocator{dec: json.NewDecoder(bytes.NewReader(data)), data: data, lines: make(map[string]int)}
	locator.indexValue("")
	for i := range errs {
		errs[i].Line = locator.lineOf(errs[i].Field)
	}
}

// pathLocator maps the path of each JSON value to its line.
type pathLocator struct {
	dec   *json.Decoder
	data  []byte
	lines map[string]int
}

// lineOf returns the line of the field, or of its closest parent in the input if
// the field is missing.
func (l *pathLocator) lineOf(field string) int {
	for field != "" {
		if line, ok := l.lines[field]; ok {
			return line
		}
		cut := bytes.LastIndexAny([]byte(field), ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}

// indexValue reads one JSON value and records the lines of it and of all values in
// it. It returns false at the first error of the decoder.
func (l *pathLocator) indexValue(path string) bool {
	token, err := l.dec.Token()
	if err != nil {
		return false
	}
	if path != "" {
		l.lines[path] = lineAt(l.data, l.dec.InputOffset())
	}
	switch token {
	case json.Delim('{'):
		return l.indexObject(path)
	case json.Delim('['):
		return l.indexArray(path)
	}
	return true
}

func (l *pathLocator) indexObject(path string) bool {
	for l.dec.More() {
		key, err := l.dec.Token()
		if err != nil {
			return false
		}
		name := fmt.Sprint(key)
		if path != "" {
			name = path + "." + name
		}
		if !l.indexValue(name) {
			return false
		}
	}
	_, err := l.dec.Token()
	return err == nil
}

func (l *pathLocator) indexArray(path string) bool {
	for i := 0; l.dec.More(); i++ {
		if !l.indexValue(fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	_, err := l.dec.Token()
	return err == nil
}
