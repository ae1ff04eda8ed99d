package register

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// locate adds the line of each fault's field to errs.
func locate(data []byte, errs Errors) {
	l := &locator{dec: json.NewDecoder(bytes.NewReader(data)), data: data, lines: make(map[string]int)}
	l.value("")
	for i := range errs {
		errs[i].Line = l.find(errs[i].Field)
	}
}

// locator maps the path of each JSON value to its line.
type locator struct {
	dec   *json.Decoder
	data  []byte
	lines map[string]int
}

// find returns the line of field, or of its closest parent that is present.
func (l *locator) find(field string) int {
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

func (l *locator) value(path string) bool {
	token, err := l.dec.Token()
	if err != nil {
		return false
	}
	if path != "" {
		l.lines[path] = lineAt(l.data, l.dec.InputOffset())
	}
	switch token {
	case json.Delim('{'):
		return l.object(path)
	case json.Delim('['):
		return l.array(path)
	}
	return true
}

func (l *locator) object(path string) bool {
	for l.dec.More() {
		key, err := l.dec.Token()
		if err != nil {
			return false
		}
		name := fmt.Sprint(key)
		if path != "" {
			name = path + "." + name
		}
		if !l.value(name) {
			return false
		}
	}
	_, err := l.dec.Token()
	return err == nil
}

func (l *locator) array(path string) bool {
	for i := 0; l.dec.More(); i++ {
		if !l.value(fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	_, err := l.dec.Token()
	return err == nil
}
