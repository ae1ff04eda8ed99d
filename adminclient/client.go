// Package adminclient calls the administration API of an entry VM.
package adminclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/internal/httpanswer"
)

// Options configure a Client.
type Options struct {
	// Address is IP:PORT, or a URL that starts with https://.
	Address string
	// Token is the token of a team. Empty sends none.
	Token string
	// CAFile has the certificate authorities, in PEM form, that verify the
	// server's certificate. Empty uses those of the system.
	CAFile string
	// OnResend is called with the reason before a change is resent. Nil disables it.
	OnResend func(text string)
}

// Client calls the API of one VM. It is safe for concurrent use.
type Client struct {
	opts    Options
	baseURL string
	http    *http.Client
}

// maxResponseBytes bounds a response body. A register with 780,000 client blocks
// is smaller.
const maxResponseBytes = 128 << 20

// maxHeadBytes bounds the head of a response. The default of net/http is 10 MB, and small fields
// cost ten times as much.
const maxHeadBytes = 64 << 10

// New returns a client of the VM at o.Address.
func New(o Options) (*Client, error) {
	if o.Address == "" {
		return nil, errors.New("no VM is named; set -admin IP:PORT or CURRANTFERRY_ADMIN")
	}
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: maxHeadBytes}
	c := &Client{opts: o, baseURL: strings.TrimSuffix(o.Address, "/")}
	if !strings.Contains(c.baseURL, "://") {
		c.baseURL = "http://" + c.baseURL
	}
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, errors.Wrap(err, "read certificate authorities")
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("%s contains no certificate in PEM form", o.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: httpanswer.NewTransport(transport)}
	return c, nil
}

// UnreachableError means that the VM sent no complete response.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v\nCheck the address, or use another VM: each one serves the same API.", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Change has the metadata of a change.
type Change struct {
	// ID identifies all sends of a change, so that it is applied at most once.
	// Empty means a new random one.
	ID string
	// Base is the version that the change is based on.
	Base uint64
	// By is the operator, Why the reason; both are kept in the history.
	By, Why string
}

// Get decodes the response for a path into v, or stores the raw body if v is a
// *[]byte. It returns the version in ETag, or zero.
func (c *Client) Get(ctx context.Context, path string, v any) (uint64, error) {
	return c.do(ctx, http.MethodGet, path, nil, nil, v)
}

// Post sends a request that changes nothing, such as a preview.
func (c *Client) Post(ctx context.Context, path string, body []byte, v any) error {
	_, err := c.do(ctx, http.MethodPost, path, body, nil, v)
	return err
}

// Bounds of the backoff between two sends of a change.
const (
	minResendBackoff = 500 * time.Millisecond
	maxResendBackoff = 5 * time.Second
)

// Send makes a change. While the store or the VM is unavailable, it resends the
// change with the same ID until ctx ends; the change takes effect at most once.
func (c *Client) Send(ctx context.Context, method, path string, body []byte, ch Change) (admin.Accepted, error) {
	if ch.ID == "" {
		ch.ID = rand.Text()
	}
	for backoff := minResendBackoff; ; backoff = min(2*backoff, maxResendBackoff) {
		var out admin.Accepted
		_, err := c.do(ctx, method, path, body, &ch, &out)
		if err == nil || !isTemporary(err) {
			return out, err
		}
		if c.opts.OnResend != nil {
			firstLine, _, _ := strings.Cut(err.Error(), "\n")
			c.opts.OnResend(firstLine + "; resending with change ID " + ch.ID)
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return out, errors.WithMessagef(err, "change ID %s was not confirmed in time; use -change-id %s to send it again", ch.ID, ch.ID)
		}
	}
}

// isTemporary reports whether a resend of the change may succeed.
func isTemporary(err error) bool {
	var p *admin.Problem
	if errors.As(err, &p) {
		return p.Status == http.StatusServiceUnavailable
	}
	var u *UnreachableError
	return errors.As(err, &u)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, ch *Change, v any) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if c.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if ch != nil {
		req.Header.Set("If-Match", `"`+strconv.FormatUint(ch.Base, 10)+`"`)
		req.Header.Set(admin.HeaderChangeID, ch.ID)
		req.Header.Set(admin.HeaderWhy, ch.Why)
		req.Header.Set(admin.HeaderBy, ch.By)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, &UnreachableError{c.baseURL, err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return 0, &UnreachableError{c.baseURL, err}
	}
	if res.StatusCode != http.StatusOK && !isHealthResponse(path, res.StatusCode) {
		p := &admin.Problem{}
		if json.Unmarshal(data, p) != nil || p.Text == "" {
			p.Text = strings.TrimSpace(string(data))
		}
		p.Status = res.StatusCode
		return 0, p
	}
	version, _ := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	switch v := v.(type) {
	case nil:
	case *[]byte:
		*v = data
	default:
		if err := json.Unmarshal(data, v); err != nil {
			return 0, errors.Wrapf(err, "response of %s cannot be decoded; its release may differ from that of this command", c.baseURL)
		}
	}
	return version, nil
}

// isHealthResponse reports whether a 503 is a regular response of /v1/health
// rather than an error.
func isHealthResponse(path string, status int) bool {
	return path == "/v1/health" && status == http.StatusServiceUnavailable
}
