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

// Bounds of the client.
const (
	// RequestTimeout bounds one request that is not a watch, and the opening of a watch.
	// It must be shorter than a reader's lease.
	RequestTimeout = 5 * time.Second
	// WatchSilence is the time without event or bookmark after which a watch is taken as
	// broken. The platform sends bookmarks every second, so that ten in a row are missing.
	WatchSilence = 10 * time.Second
	// maxAnswerBytes bounds an answer; a new reader loads about 1 MB at 950 services.
	maxAnswerBytes = 64 << 20
	// maxDetailBytes bounds the text of a refusal that is kept for the error.
	maxDetailBytes = 512
	// idleConnections is the number of connections kept open to one address; a reader has
	// a watch and a few requests at a time.
	idleConnections = 4
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
)

// Client speaks the object API's HTTP/JSON protocol. Requests go to one of the configured
// addresses until a connection to it fails, then to the next. It is safe for concurrent use.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
	next      atomic.Uint32

	// mutex protects lists, the newest machine list of each zone.
	mutex sync.Mutex
	lists map[string]machineList

	// Requests counts the requests sent, BytesIn and BytesOut the bytes of their bodies
	// and of those of the answers.
	Requests, BytesIn, BytesOut atomic.Int64
}

// DialFunc opens a connection; tests put faults behind it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the platform at addresses ("ip:port"); token
// may be empty and dial nil.
func NewClient(addresses []string, token string, dial DialFunc) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         dial,
	}
	return &Client{
		addresses: addresses, token: token, http: &http.Client{Transport: transport},
		lists: map[string]machineList{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) request(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	return c.conditional(ctx, method, path, query, body, "")
}

// conditional sends a request that is answered with PlatformNotModified when
// what it asks for still has the given tag; an empty tag asks in any case.
func (c *Client) conditional(ctx context.Context, method, path string, query url.Values, body []byte, tag string) (*http.Response, error) {
	if len(c.addresses) == 0 {
		return nil, result.Errorf(result.PlatformUnavailable, "no platform address is set")
	}
	address := c.addresses[int(c.next.Load())%len(c.addresses)]
	target := "http://" + address + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.PlatformBadAnswer, err, "building a request")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	c.Requests.Add(1)
	c.BytesOut.Add(int64(len(body)))
	response, err := c.http.Do(request)
	if err != nil {
		c.next.Add(1)
		return nil, result.Wrap(result.PlatformUnavailable, err, "%s %s", method, path)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response.Body)
	// The status decides; a detail that broke off is kept as far as it came.
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	return nil, statusError(response.StatusCode, string(detail))
}

// closeBody closes the body of an answer. An error of closing is dropped: what was read is
// whole by then or its own error was returned.
func closeBody(body io.Closer) { _ = body.Close() }

// readBody reads the whole body of an answer and closes it. Errors: PlatformUnavailable.
func (c *Client) readBody(response *http.Response, path string) ([]byte, error) {
	defer closeBody(response.Body)
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, result.Wrap(result.PlatformUnavailable, err, "reading the answer to %s", path)
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

// exchange sends a bounded request and decodes the JSON answer into answer, which may be nil.
func (c *Client) exchange(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
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
	return result.Wrap(result.PlatformBadAnswer, json.Unmarshal(content, answer), "decoding the answer to %s", path)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.exchange(ctx, http.MethodGet, "/v1/object", url.Values{"key": {key}}, nil, &object)
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
	err := c.exchange(ctx, http.MethodPut, "/v1/object", keyAndVersion(key, expected), value, &answer)
	return answer.Version, err
}

// PutStatus implements Store.
func (c *Client) PutStatus(ctx context.Context, key string, status []byte, expected int64) error {
	return c.exchange(ctx, http.MethodPut, "/v1/status", keyAndVersion(key, expected), status, nil)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	return c.exchange(ctx, http.MethodDelete, "/v1/object", keyAndVersion(key, expected), nil, nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, start string, limit int) (ListResult, error) {
	query := url.Values{"prefix": {prefix}, "start": {start}, "limit": {strconv.Itoa(limit)}}
	var list ListResult
	err := c.exchange(ctx, http.MethodGet, "/v1/list", query, nil, &list)
	return list, err
}

// machineList is a machine list with the tag by which the platform knows it.
type machineList struct {
	tag      string
	machines []Machine
}

// Machines implements Store. A list that has not changed is not sent again.
func (c *Client) Machines(ctx context.Context, zone string) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	c.mutex.Lock()
	known := c.lists[zone]
	c.mutex.Unlock()
	response, err := c.conditional(ctx, http.MethodGet, "/v1/machines", url.Values{"zone": {zone}}, nil, known.tag)
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
	read := machineList{tag: response.Header.Get("ETag")}
	if err := json.Unmarshal(content, &read.machines); err != nil {
		return nil, result.Wrap(result.PlatformBadAnswer, err, "decoding the machine list")
	}
	c.mutex.Lock()
	c.lists[zone] = read
	c.mutex.Unlock()
	return read.machines, nil
}
