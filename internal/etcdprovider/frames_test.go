package etcdprovider

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// deliverText runs the reader of a watch on a text, and returns the changes that it
// delivers and the error that ends it.
func deliverText(t testing.TB, text string, fromRevision int64) (delivered []provider.Change, err error) {
	t.Helper()
	p, err := New(Config{Endpoints: []string{"http://127.0.0.1:0"}})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	changes := make(chan []provider.Change)
	stream := newFrameReader(&http.Response{Body: io.NopCloser(strings.NewReader(text))}, nil)
	var group errgroup.Group
	group.Go(func() error {
		defer close(changes)
		return p.deliverChanges(ctx, cancel, stream, changes, fromRevision)
	})
	for batch := range changes {
		delivered = append(delivered, batch...)
	}
	return delivered, group.Wait()
}

func TestFrames(t *testing.T) {
	const at7 = `{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"YQ==","mod_revision":"7"}}]}}` + "\n"
	tests := map[string]struct {
		text string
		want error
		n    int
	}{
		"ends after a frame":    {text: at7, want: io.EOF, n: 1},
		"truncated frame":       {text: at7 + `{"result":{"header"`, want: io.ErrUnexpectedEOF, n: 1},
		"progress notification": {text: `{"result":{"header":{"revision":"9"}}}` + at7, want: io.EOF, n: 1},
		"revision decreases":    {text: at7 + strings.ReplaceAll(at7, `"7"`, `"6"`), want: errRevisionDecreased, n: 1},
		"before the start":      {text: strings.ReplaceAll(at7, `"7"`, `"4"`), want: errRevisionDecreased},
		"compacted":             {text: `{"result":{"canceled":true,"compact_revision":"9"}}`, want: provider.ErrCompacted},
		"canceled":              {text: `{"result":{"canceled":true,"cancel_reason":"x"}}`, want: errCanceled},
		"empty frame":           {text: `{}`, want: errIncompleteResponse},
		"two changes in one revision": {
			text: `{"result":{"events":[{"kv":{"mod_revision":"8"}},{"type":"DELETE","kv":{"mod_revision":"8"}}]}}`,
			want: io.EOF, n: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			delivered, err := deliverText(t, test.text, 5)
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, len(delivered), test.n)
		})
	}
}

func TestErrorFrame(t *testing.T) {
	_, err := deliverText(t, `{"error":{"http_code":503,"message":"etcdserver: no leader"}}`, 0)
	assert.Error(t, err, "status 503: etcdserver: no leader")
}

func TestPrefixRange(t *testing.T) {
	for name, test := range map[string]struct{ prefix, key, end string }{
		"plain":     {"a/", "a/", "a0"},
		"last byte": {"a\xff", "a\xff", "b"},
		"no next":   {"\xff\xff", "\xff\xff", "\x00"},
		"empty":     {"", "\x00", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			key, end := prefixRange(test.prefix)
			assert.Equal(t, string(key), test.key)
			assert.Equal(t, string(end), test.end)
		})
	}
}

// FuzzFrames checks that a watch never panics, delivers decreasing revisions or ends
// without an error.
func FuzzFrames(f *testing.F) {
	f.Add(`{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"YQ==","mod_revision":"7"}}]}}`, int64(5))
	f.Add(`{"result":{"canceled":true,"compact_revision":"9"}}`, int64(0))
	f.Add(`{"result":{"events":[{"type":"DELETE","kv":{"mod_revision":"-1"}}]}}{"error":{}}`, int64(-5))
	f.Fuzz(func(t *testing.T, text string, from int64) {
		delivered, err := deliverText(t, text, from)
		assert.Assert(t, err != nil)
		newest := from
		for _, change := range delivered {
			assert.Assert(t, change.Entry.Revision >= newest)
			newest = change.Entry.Revision
		}
	})
}
