package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const (
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// Errors that the methods of Client wrap. ErrOutcomeUnknown means that a change may have
// taken effect or may take effect later.
var (
	ErrConflict       = errors.New("conflict: the deployment changed meanwhile")
	ErrInvalid        = errors.New("invalid request")
	ErrUnauthorized   = errors.New("operator key refused")
	ErrOutcomeUnknown = errors.New("outcome unknown")
	ErrNotFound       = errors.New("there is none")
)

// Client calls one instance's operator listener.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client of the operator listener at the URL base.
func NewClient(base, key string) *Client {
	return &Client{base: base, key: key, http: &http.Client{Timeout: callTimeout, Transport: httpclient.Default}}
}

// WithRoots returns a client, with the same base and key, that trusts the given CAs in
// place of the operating system's.
func (c *Client) WithRoots(roots *x509.CertPool) *Client {
	transport := httpclient.New(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}})
	return &Client{base: c.base, key: c.key, http: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// WithBase returns a client, with the same key, of another instance's listener.
func (c *Client) WithBase(base string) *Client { return &Client{base: base, key: c.key, http: c.http} }

// Apply replaces the configuration.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (AppendReply, error) {
	var out AppendReply
	err := c.call(ctx, http.MethodPost, "/operator/config", req, &out)
	return out, err
}

// Config returns the configuration in effect. Its offset is zero if none has been applied.
func (c *Client) Config(ctx context.Context) (ConfigReply, error) {
	var out ConfigReply
	err := c.call(ctx, http.MethodGet, "/operator/config", nil, &out)
	if errors.Is(err, ErrNotFound) {
		return ConfigReply{}, nil
	}
	return out, err
}

// Grant creates a key for a client account.
func (c *Client) Grant(ctx context.Context, account string) (GrantReply, error) {
	var out GrantReply
	err := c.call(ctx, http.MethodPost, "/operator/keys/grant", GrantRequest{account}, &out)
	return out, err
}

// Keys returns the granted keys of an account, or of all accounts if account is empty.
func (c *Client) Keys(ctx context.Context, account string) ([]KeyStatus, error) {
	var out []KeyStatus
	query := url.Values{"account": {account}}
	err := c.call(ctx, http.MethodGet, "/operator/keys?"+query.Encode(), nil, &out)
	return out, err
}

// Withdraw withdraws a key.
func (c *Client) Withdraw(ctx context.Context, account, keyID string) (AppendReply, error) {
	var out AppendReply
	err := c.call(ctx, http.MethodPost, "/operator/keys/withdraw", WithdrawRequest{account, keyID}, &out)
	return out, err
}

// Status returns the deployment's state as the instance has it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, "/operator/status", nil, &out)
	return out, err
}

// Events returns the instance's events after the sequence number since.
func (c *Client) Events(ctx context.Context, since uint64) (events.Page, error) {
	var out events.Page
	query := url.Values{"since": {strconv.FormatUint(since, 10)}}
	err := c.call(ctx, http.MethodGet, "/operator/events?"+query.Encode(), nil, &out)
	return out, err
}

// call sends in as JSON, if it is not nil, and decodes the response into out.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("operator %s: %w", c.base, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("operator %s: %w: %w", c.base, ErrOutcomeUnknown, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("operator %s: %w: %w", c.base, ErrOutcomeUnknown, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("operator %s: %w", c.base, errorFromResponse(res.StatusCode, data))
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("operator %s: decode answer: %w", c.base, err)
	}
	return nil
}

// errorFromResponse returns the error of a response whose status is not 200. It wraps the
// error of the response's code, or ErrOutcomeUnknown for any other code or body.
func errorFromResponse(status int, data []byte) error {
	var response ErrorResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
	kind := ErrOutcomeUnknown
	switch response.Code {
	case "conflict":
		kind = ErrConflict
	case "invalid":
		kind = ErrInvalid
	case "none":
		kind = ErrNotFound
	case "unauthorized":
		kind = ErrUnauthorized
	}
	return fmt.Errorf("%w: %s", kind, response.Error)
}
