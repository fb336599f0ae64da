package engineserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/driver"
)

const (
	fetchTimeout    = time.Second
	maxHandleBytes  = 16 << 10
	fetcherIdleTime = 5 * time.Second
)

var errOtherHandle = errors.New("exporter returned a different handle")

// fetcher fetches exported KV caches from other engines.
type fetcher struct {
	transport *http.Transport
}

func newFetcher() *fetcher {
	return &fetcher{transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: fetcherIdleTime}}
}

func (f *fetcher) close() { f.transport.CloseIdleConnections() }

// fetch requests the KV cache of a handle from its exporter.
func (f *fetcher) fetch(ctx context.Context, handle driver.KVHandle) (held driver.KVHandle, err error) {
	defer func() { err = eris.Wrapf(err, "fetch KV cache %s", handle.HandleID) }()

	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	address := "http://" + handle.Address + "/kv/" + url.PathEscape(handle.HandleID)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return held, err
	}
	resp, err := f.transport.RoundTrip(r)
	if err != nil {
		return held, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHandleBytes))
	if err != nil {
		return held, err
	}
	if resp.StatusCode != http.StatusOK {
		return held, errors.New(resp.Status)
	}
	if err := json.Unmarshal(body, &held); err != nil {
		return held, err
	}
	if held.HandleID != handle.HandleID {
		return held, errOtherHandle
	}
	return held, nil
}
