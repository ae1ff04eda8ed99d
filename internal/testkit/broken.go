package testkit

import (
	"context"
	"testing"
	"time"
)

// brokenCallTimeout bounds a call in the check below.
const brokenCallTimeout = 5 * time.Second

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
