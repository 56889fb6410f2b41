package objectapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefixes []string, version int64) (Watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	query := url.Values{"prefix": prefixes, "version": {strconv.FormatInt(version, 10)}}
	openTimer := time.AfterFunc(RequestTimeout, cancel)
	response, err := c.request(ctx, http.MethodGet, "/v1/watch", query, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	openTimer.Stop()
	return &clientWatch{
		client:  c,
		body:    response.Body,
		decoder: json.NewDecoder(response.Body),
		cancel:  cancel,
	}, nil
}

// clientWatch implements Watch on one streaming response.
type clientWatch struct {
	client  *Client
	body    io.ReadCloser
	decoder *json.Decoder
	cancel  context.CancelFunc
}

func (w *clientWatch) Next() (Event, error) {
	idleTimer := time.AfterFunc(WatchIdleTimeout, w.cancel)
	defer idleTimer.Stop()
	before := w.decoder.InputOffset()
	var event Event
	if err := w.decoder.Decode(&event); err != nil {
		return Event{}, result.Wrap(result.PlatformUnavailable, err, "the watch ended")
	}
	w.client.BytesIn.Add(w.decoder.InputOffset() - before)
	return event, nil
}

func (w *clientWatch) Close() {
	w.cancel()
	closeBody(w.body)
}
