package testkit

import (
	"context"
	"testing"
	"time"
)

// brokenCallTimeout bounds a call in the checks below, so that one that hangs fails. A call may have a
// shorter one.
const brokenCallTimeout = 20 * time.Second

// CheckMalformed runs a call against a server for each malformed answer, which must fail, and for
// each sound one, which must not. fields and body are those of an answer that the call needs.
func CheckMalformed(t *testing.T, fields, body string, call func(ctx context.Context, address string) error) {
	t.Helper()
	check := func(forms map[string]string, isSound bool) {
		for name, text := range forms {
			ctx, cancel := context.WithTimeout(t.Context(), brokenCallTimeout)
			if err := call(ctx, StartServer(t, EarlyAnswer{ReadBytes: -1}.Serve(text))); (err == nil) != isSound {
				t.Errorf("%s: %v; accepted, want %t", name, err, isSound)
			}
			cancel()
		}
	}
	check(MalformedAnswers(fields, body), false)
	check(SoundAnswers(fields, body), true)
}

// CheckEarly runs a call that sends an upload against a server for each early answer without a
// length. It must fail if the connection is reset, and must not if it ends in an orderly way.
func CheckEarly(t *testing.T, fields, body string, call func(ctx context.Context, address string) error) {
	t.Helper()
	const rounds = 10
	for name, early := range EarlyAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := StartServer(t, early.Serve("HTTP/1.1 200 OK\r\n"+fields+"\r\n"+body))
			accepted := 0
			for range rounds {
				ctx, cancel := context.WithTimeout(t.Context(), brokenCallTimeout)
				err := call(ctx, address)
				cancel()
				if err == nil {
					accepted++
				} else if !early.IsReset {
					t.Errorf("a whole answer was rejected: %v", err)
				}
			}
			if early.IsReset && accepted > 0 {
				t.Errorf("taken for whole %d times of %d", accepted, rounds)
			}
		})
	}
}
