// Package adminclient is a client of the administration API.
package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/settings"
)

const (
	maxResponseBytes  = 64 << 20
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// Client calls the API of one process. It is safe for concurrent use.
type Client struct {
	baseURL *url.URL
	key     settings.Secret
	http    *http.Client
}

// Config holds the address of the API and the credentials for it.
type Config struct {
	// Server is the URL of the API of a proxy. Without TLS the host must be a loopback
	// address, because the key is sent unencrypted.
	Server string
	// KeyFile holds the bearer key on one line.
	KeyFile string
	// CAFile holds the CA certificates for verifying the server; if it is empty, the
	// system's are used.
	CAFile string
}

// New returns a client. It does not connect.
func New(c Config) (*Client, error) {
	baseURL, err := url.Parse(c.Server)
	if err != nil || baseURL.Host == "" {
		return nil, eris.Errorf("server %q: want a URL such as https://10.20.1.5:8443", c.Server)
	}
	if baseURL.Scheme != "https" && !isLoopback(baseURL.Hostname()) {
		return nil, eris.Errorf("server %q: only a server on loopback may be called without TLS", c.Server)
	}
	client := &Client{baseURL: baseURL, http: &http.Client{}}
	if c.KeyFile != "" {
		data, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return nil, eris.Wrap(err, "read key file")
		}
		key := strings.TrimSpace(string(data))
		if strings.ContainsAny(key, "\r\n") {
			return nil, eris.Errorf("key file %s must hold one line", c.KeyFile)
		}
		client.key = settings.Secret(key)
	}
	if client.http.Transport, err = newTransport(c.CAFile); err != nil {
		return nil, err
	}
	return client, nil
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func newTransport(caFile string) (*http.Transport, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return t, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "read CA file")
	}
	t.TLSClientConfig.RootCAs = x509.NewCertPool()
	if !t.TLSClientConfig.RootCAs.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("CA file %s contains no certificate", caFile)
	}
	return t, nil
}

// Get requests path and decodes the body into response. The error is an
// *admin.Error if the API returned one.
func (c *Client) Get(ctx context.Context, path string, response any) error {
	return c.call(ctx, http.MethodGet, path, nil, response)
}

// Post sends body to path and decodes the response. It returns the same errors as
// Get.
func (c *Client) Post(ctx context.Context, path string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	return c.call(ctx, http.MethodPost, path, data, response)
}

// Change sends a change. While the outcome is unknown, which includes failed
// connections, or the server is busy, it retries with exponential backoff until ctx
// ends. Retries are safe because the change carries its change ID.
func (c *Client) Change(ctx context.Context, path string, request admin.ChangeRequest) (admin.ChangeResponse, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialRetryDelay, maxRetryDelay
	return backoff.Retry(ctx, func() (admin.ChangeResponse, error) {
		var response admin.ChangeResponse
		err := c.Post(ctx, path, request, &response)
		var apiErr *admin.Error
		if errors.As(err, &apiErr) && apiErr.Code != admin.CodeUnknownOutcome && apiErr.Code != admin.CodeBusy {
			return response, backoff.Permanent(err)
		}
		return response, err
	}, backoff.WithBackOff(retryBackoff), backoff.WithMaxElapsedTime(0))
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	target, err := c.baseURL.Parse(path)
	if err != nil {
		return eris.Wrap(err, "path")
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key.Reveal())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "call %s", c.baseURL.Host)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(err, "read response from %s", c.baseURL.Host)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, data)
	}
	return eris.Wrapf(json.Unmarshal(data, result), "decode response from %s", c.baseURL.Host)
}

func responseError(status int, data []byte) error {
	var body struct {
		Error *admin.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return eris.Errorf("server returned HTTP status %d without an API error", status)
	}
	return body.Error
}
