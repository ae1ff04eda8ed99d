package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/internal/testkit"
)

// pack compresses a text. Compressed texts can be joined.
func pack(t *testing.T, text string) string {
	t.Helper()
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write([]byte(text))
	if err != nil || w.Close() != nil {
		t.Fatal(err)
	}
	return out.String()
}

// A relay that answers without end, or with bytes that expand to hundreds of megabytes, must not
// fill the memory of the VM that follows it.
func TestEndlessAnswersOfRelay(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + headerRevision + ": 5\r\n" + headerAge + ": 5\r\n\r\n"
	record := `{"k":"servers/` + strings.Repeat("k", 100) + `","v":"` + strings.Repeat("eHh4", 4000) + `","r":1}`
	// expand returns an answer that expands to a beginning and a part without end.
	expand := func(beginning, part string) [2]string {
		return [2]string{head + pack(t, beginning), pack(t, strings.Repeat(part, 1<<20/len(part)))}
	}
	forms := map[string][2]string{
		"no gzip":         {head, "x"},
		"name in gzip":    {head + "\x1f\x8b\x08\x08\x00\x00\x00\x00\x00\xff", "x"},
		"empty parts":     {head, "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff\x01\x00\x00\xff\xff\x00\x00\x00\x00\x00\x00\x00\x00"},
		"spaces":          expand("", " "),
		"string":          expand(`[{"k":"`, "x"),
		"value":           expand(`[{"v":"`, "eHh4"),
		"empty records":   expand(`[{}`, ",{}"),
		"records":         expand("["+record, ","+record),
		"unknown field":   expand(`[{"y":[0`, ",0"),
		"error":           {"HTTP/1.1 500 Failed\r\n\r\n", "x"},
		"no content":      {"HTTP/1.1 204 No Content\r\n" + head[len("HTTP/1.1 200 OK\r\n"):], "x"},
		"head, then gone": {"HTTP/1.1 410 Gone\r\n\r\n", "x"},
	}
	maps.Copy(forms, testkit.EndlessHeads)
	// A third of the memory of the smallest VMs, 184 MB: records are kept up to a bound in bytes.
	testkit.CheckEndless(t, forms, 184<<20/3, 2*time.Second, func(ctx context.Context, address string) error {
		source := &relaySource{New(Options{}).client, address, time.Second, history.Position{}}
		_, err := source.Read(ctx)
		return err
	})
}
