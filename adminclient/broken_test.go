package adminclient

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/testkit"
)

// An operator must not get a part of a response for the whole one when the VM resets the connection
// during a large request.
func TestResetDuringRequestIsNoResponse(t *testing.T) {
	const body = `{"text":"preview"}`
	testkit.CheckEarly(t, "", body, func(ctx context.Context, address string) error {
		return call(ctx, address, http.MethodPost, make([]byte, 8<<20), body)
	})
}

// Malformed responses must not be taken for those of a VM.
func TestMalformedResponsesAreRejected(t *testing.T) {
	testkit.CheckMalformed(t, "", "{}", func(ctx context.Context, address string) error {
		return call(ctx, address, http.MethodGet, nil, "{}")
	})
}

// call sends a request, and returns an error if the body of the response isn't the wanted one.
func call(ctx context.Context, address, method string, body []byte, want string) error {
	c, err := New(Options{Address: address})
	if err != nil {
		return err
	}
	var got []byte
	_, err = c.do(ctx, method, "/v1/register", body, nil, &got)
	if err == nil && string(got) != want {
		return errors.Errorf("response %q", got)
	}
	return err
}
