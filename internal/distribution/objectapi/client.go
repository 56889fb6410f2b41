package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Limits of the client.
const (
	// RequestTimeout limits a request that is not a watch, and the opening of a watch. It must be
	// shorter than the lease of a reader.
	RequestTimeout = 5 * time.Second
	// WatchIdleTimeout is the time without an event or bookmark after which a watch is closed as
	// broken. The platform sends a bookmark every second, so ten in a row must be missing.
	WatchIdleTimeout = 10 * time.Second
	// maxResponseBytes limits the size of a response; a starting reader loads about 1 MB at 950
	// services.
	maxResponseBytes = 64 << 20
	// maxDetailBytes limits the text of an error response that is included in the error.
	maxDetailBytes = 512
	// maxIdleConnections is the number of idle connections kept to one address; a reader uses one
	// for a watch and a few for requests at a time.
	maxIdleConnections = 4
	// idleConnectionTimeout is the time after which an idle connection is closed.
	idleConnectionTimeout = 30 * time.Second
)

// Client implements Store over the object API's HTTP/JSON protocol. It sends all requests to one of
// the configured addresses until one gets no response, then to the next address. It is safe for
// concurrent use.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
	failovers atomic.Uint32

	// mutex protects machineLists, the latest machine list of each zone.
	mutex        sync.Mutex
	machineLists map[string]machineList

	// Requests counts the requests sent, BytesOut the bytes of their bodies and BytesIn the bytes
	// of the response bodies.
	Requests, BytesIn, BytesOut atomic.Int64
}

// DialFunc opens a connection; tests use it to inject faults.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the platform at addresses ("ip:port"). token may be empty and dial
// nil.
func NewClient(addresses []string, token string, dial DialFunc) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DialContext:         dial,
	}
	return &Client{
		addresses: addresses, token: token, http: &http.Client{Transport: transport},
		machineLists: map[string]machineList{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) request(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	return c.conditionalRequest(ctx, method, path, query, body, "")
}

// conditionalRequest sends a request that fails with PlatformNotModified when the resource still
// has the given entity tag; an empty tag makes it unconditional.
func (c *Client) conditionalRequest(ctx context.Context, method, path string, query url.Values, body []byte, etag string) (*http.Response, error) {
	if len(c.addresses) == 0 {
		return nil, result.Errorf(result.PlatformUnavailable, "no platform address is configured")
	}
	address := c.addresses[int(c.failovers.Load())%len(c.addresses)]
	target := "http://" + address + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.PlatformBadAnswer, err, "creating the request")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	c.Requests.Add(1)
	c.BytesOut.Add(int64(len(body)))
	response, err := c.http.Do(request)
	if err != nil {
		c.failovers.Add(1)
		return nil, result.Wrap(result.PlatformUnavailable, err, "%s %s", method, path)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response.Body)
	// The status code determines the error; an incompletely read detail is used as it is.
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	return nil, statusError(response.StatusCode, string(detail))
}

// closeBody closes the body of a response. The error of Close is ignored: the body was read
// completely, or the read error was returned.
func closeBody(body io.Closer) { _ = body.Close() }

// readBody reads the whole body of a response and closes it. Errors: PlatformUnavailable.
func (c *Client) readBody(response *http.Response, path string) ([]byte, error) {
	defer closeBody(response.Body)
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, result.Wrap(result.PlatformUnavailable, err, "reading the response to %s", path)
	}
	c.BytesIn.Add(int64(len(content)))
	return content, nil
}

func statusError(status int, detail string) error {
	switch status {
	case http.StatusNotModified:
		return result.Errorf(result.PlatformNotModified, "%s", detail)
	case http.StatusNotFound:
		return result.Errorf(result.PlatformNotFound, "%s", detail)
	case http.StatusConflict:
		return result.Errorf(result.PlatformConflict, "%s", detail)
	case http.StatusGone:
		return result.Errorf(result.PlatformCompacted, "%s", detail)
	case http.StatusTooManyRequests:
		return result.Errorf(result.PlatformTooManyWatch, "%s", detail)
	default:
		return result.Errorf(result.PlatformUnavailable, "status %d: %s", status, detail)
	}
}

// requestJSON sends a request with RequestTimeout and decodes the JSON response into answer, which
// may be nil.
func (c *Client) requestJSON(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	response, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	content, err := c.readBody(response, path)
	if err != nil || answer == nil {
		return err
	}
	return result.Wrap(result.PlatformBadAnswer, json.Unmarshal(content, answer), "decoding the response to %s", path)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.requestJSON(ctx, http.MethodGet, "/v1/object", url.Values{"key": {key}}, nil, &object)
	return object, err
}

func keyAndVersion(key string, expected int64) url.Values {
	return url.Values{"key": {key}, "version": {strconv.FormatInt(expected, 10)}}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	var answer struct {
		Version int64 `json:"version"`
	}
	err := c.requestJSON(ctx, http.MethodPut, "/v1/object", keyAndVersion(key, expected), value, &answer)
	return answer.Version, err
}

// PutStatus implements Store.
func (c *Client) PutStatus(ctx context.Context, key string, status []byte, expected int64) error {
	return c.requestJSON(ctx, http.MethodPut, "/v1/status", keyAndVersion(key, expected), status, nil)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	return c.requestJSON(ctx, http.MethodDelete, "/v1/object", keyAndVersion(key, expected), nil, nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, start string, limit int) (ListResult, error) {
	query := url.Values{"prefix": {prefix}, "start": {start}, "limit": {strconv.Itoa(limit)}}
	var list ListResult
	err := c.requestJSON(ctx, http.MethodGet, "/v1/list", query, nil, &list)
	return list, err
}

// machineList is a machine list and its entity tag.
type machineList struct {
	etag     string
	machines []Machine
}

// Machines implements Store. An unchanged list is not transferred again.
func (c *Client) Machines(ctx context.Context, zone string) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	c.mutex.Lock()
	known := c.machineLists[zone]
	c.mutex.Unlock()
	response, err := c.conditionalRequest(ctx, http.MethodGet, "/v1/machines", url.Values{"zone": {zone}}, nil, known.etag)
	if result.Is(err, result.PlatformNotModified) {
		return known.machines, nil
	}
	if err != nil {
		return nil, err
	}
	content, err := c.readBody(response, "/v1/machines")
	if err != nil {
		return nil, err
	}
	read := machineList{etag: response.Header.Get("ETag")}
	if err := json.Unmarshal(content, &read.machines); err != nil {
		return nil, result.Wrap(result.PlatformBadAnswer, err, "decoding the machine list")
	}
	c.mutex.Lock()
	c.machineLists[zone] = read
	c.mutex.Unlock()
	return read.machines, nil
}
