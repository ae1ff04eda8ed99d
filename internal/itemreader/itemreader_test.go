package itemreader

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Lists at the bounds must be decoded whole, and longer ones must end with an error instead of
// being taken for whole.
func TestBounds(t *testing.T) {
	limits := Limits{Bytes: 4000, ItemBytes: 1000, Items: 10}
	item := func(n int) string { return `"` + strings.Repeat("x", n) + `"` }
	for name, c := range map[string]struct {
		text  string
		items int
		want  error
	}{
		"null":               {"null", 0, nil},
		"empty":              {"[]", 0, nil},
		"at the bounds":      {"[" + strings.Repeat(item(300)+",", 9) + item(300) + "]", 10, nil},
		"too many items":     {"[" + strings.Repeat("0,", 10) + "0]", 11, ErrTooLong},
		"too many bytes":     {"[" + strings.Repeat(item(700)+",", 9) + item(700) + "]", 5, ErrTooLong},
		"large item":         {"[" + item(900) + "]", 1, nil},
		"too large an item":  {"[" + item(1100) + "]", 0, ErrItemTooLong},
		"spaces between two": {"[0," + strings.Repeat(" ", 2000) + "0]", 1, ErrItemTooLong},
		"spaces at first":    {strings.Repeat(" ", 2000) + "[]", 0, ErrItemTooLong},
	} {
		r := New(strings.NewReader(c.text), limits)
		items := 0
		err := Decode(json.NewDecoder(r), r, func(*any) { items++ })
		if !errors.Is(err, c.want) || items != c.items {
			t.Errorf("%s: %d items, %v; want %d, %v", name, items, err, c.items, c.want)
		}
	}
	for _, text := range []string{"", "{}", "[", "[0", "[0 0]", "[0}"} {
		r := New(strings.NewReader(text), limits)
		if err := Decode(json.NewDecoder(r), r, func(*any) {}); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
