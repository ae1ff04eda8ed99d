package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/html"
)

// The page must have all sections, must not run scripts or load resources, and must
// escape texts from outside, so that they are not interpreted as markup.
func TestPageStructure(t *testing.T) {
	r := &Report{
		Name: "rolregister", At: time.Unix(0, 0), Version: 12,
		Risks:    []Risk{{What: "region noord", Until: "14:00"}},
		Moves:    []Move{{What: "proefbank", From: "randstad", To: "noord", Amount: "5 %", Why: "drain"}},
		Planned:  []string{`<script>alert(1)</script>`},
		Refused:  map[string]int64{"saturated": 3},
		Crashing: []string{"rolinname POST /<img src=x>"},
		Lines:    []Series{{Name: "Latency", Unit: "ms", Interval: time.Second, Points: []float64{1, 3, 2}}, {Name: "Empty"}},
	}
	page, err := HTML(r)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := html.Parse(bytes.NewReader(page))
	if err != nil {
		t.Fatal(err)
	}
	tags, ids := make(map[string]int), make(map[string]bool)
	viewport := false
	for n := range doc.Descendants() {
		if n.Type != html.ElementNode {
			continue
		}
		tags[n.Data]++
		for _, a := range n.Attr {
			switch {
			case a.Key == "id":
				ids[a.Val] = true
			case a.Key == "src" || a.Key == "href" || strings.HasPrefix(a.Key, "on"):
				t.Errorf("<%s> has %s", n.Data, a.Key)
			case a.Key == "content" && strings.Contains(a.Val, "width=device-width"):
				viewport = true
			}
		}
		if n.Data == "svg" && (n.FirstChild == nil || n.FirstChild.Data != "polyline") {
			t.Error("curve without a polyline")
		}
	}
	for _, id := range []string{"risk", "store", "moved", "planned", "refused", "trouble", "lines"} {
		if !ids[id] {
			t.Errorf("no section %s", id)
		}
	}
	for _, tag := range []string{"script", "img", "link", "iframe", "form"} {
		if tags[tag] > 0 {
			t.Errorf("%d <%s>", tags[tag], tag)
		}
	}
	if tags["title"] != 1 || tags["h1"] != 1 || tags["main"] != 1 || tags["svg"] != 2 || !viewport {
		t.Errorf("elements %v, viewport %v", tags, viewport)
	}
	for _, text := range []string{"At risk: yes", "5 % from randstad to noord", "prefers-color-scheme: dark", "0.0,31.7 160.0,1.0 320.0,16.3"} { //nolint:misspell // CSS spells it this way.
		if !bytes.Contains(page, []byte(text)) {
			t.Errorf("no %q", text)
		}
	}
}
