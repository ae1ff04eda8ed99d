package caller

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/lookup"
)

// checkBody returns the error of a send, or one if its answer has another body than wanted.
func checkBody(a *Answer, err error, want string) error {
	if err == nil && string(a.Body) != want {
		return errors.Errorf("body of %d bytes", len(a.Body))
	}
	return err
}

// A part of an answer without a length must not reach the application as the whole one when the VM
// resets the connection during an upload.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	body := strings.Repeat("b", 3000)
	testkit.CheckEarly(t, "", body, func(ctx context.Context, address string) error {
		c := New(Options{Bootstrap: []string{address}})
		defer c.Close()
		a, err := c.send(ctx, lookup.ResponseVM{Address: address}, &Request{Method: "POST", Path: "/", Service: "shop", Body: make([]byte, 8<<20)})
		return checkBody(a, err, body)
	})
}

// Malformed answers must not reach the application, nor be taken for answers to lookups.
func TestMalformedAnswersAreRejected(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		testkit.CheckMalformed(t, "", "body", func(ctx context.Context, address string) error {
			c := New(Options{Bootstrap: []string{address}})
			defer c.Close()
			a, err := c.send(ctx, lookup.ResponseVM{Address: address}, &Request{Method: "GET", Path: "/", Service: "shop"})
			return checkBody(a, err, "body")
		})
	})
	t.Run("lookup", func(t *testing.T) {
		testkit.CheckMalformed(t, "", `{"vms":[]}`, func(ctx context.Context, address string) error {
			c := New(Options{Bootstrap: []string{address}})
			defer c.Close()
			_, err := c.lookupAt(ctx, address, "shop")
			return err
		})
	})
	t.Run("probe", func(t *testing.T) {
		testkit.CheckMalformed(t, "", "{}", func(_ context.Context, address string) error {
			c := New(Options{Bootstrap: []string{address}})
			defer c.Close()
			return c.sendProbe(address)
		})
	})
}
