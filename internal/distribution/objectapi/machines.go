package objectapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

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
